/**
 * @file raw_socket.h
 * Sends arbitrary bytes to a loopback address, for tests of malformed input.
 */
#ifndef TESTS_SUPPORT_RAW_SOCKET_H
#define TESTS_SUPPORT_RAW_SOCKET_H

#include <cstdint>
#include <string>

namespace support
{

/** Sends bytes on a new TCP connection; returns what arrives until it is closed or silent for
 * @p silence_ms. */
std::string exchange_bytes(const std::string &ip, uint16_t port, const std::string &bytes,
			   int silence_ms = 300);

/** Sends one UDP datagram. */
void send_datagram(const std::string &ip, uint16_t port, const std::string &bytes);

} // namespace support

#endif
