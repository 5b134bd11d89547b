#include "net/tcp_socket.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2

void tcp_socket_set_options(uv_tcp_t *tcp, uint32_t unacknowledged_timeout_ms)
{
	int idle_s = KEEPALIVE_IDLE_S;
	int interval_s = KEEPALIVE_INTERVAL_S;
	int probes = KEEPALIVE_PROBES;
	int on = 1;
	uv_os_fd_t fd;

	uv_tcp_nodelay(tcp, 1);
	if (uv_fileno((uv_handle_t *)tcp, &fd) != 0)
		return;
	/* Errors are ignored: a system without one of these options uses its defaults. */
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof(interval_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_timeout_ms,
		   sizeof(unacknowledged_timeout_ms));
}

bool tcp_socket_was_reset(uv_tcp_t *tcp)
{
	uv_os_fd_t fd;
	char byte;

	if (uv_fileno((uv_handle_t *)tcp, &fd) != 0)
		return true;
	return recv(fd, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) < 0;
}
