#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <vector>

#include "base/clock.h"
#include "net/peer_mesh.h"

namespace
{

struct Node {
	struct dw_peer_mesh *mesh = nullptr;
	std::vector<std::string> received;
	std::string last_sender;

	void start(uv_loop_t *loop, const char *name, uint8_t key_byte)
	{
		struct dw_peer_mesh_options options = {};

		options.bind_ip = "127.0.0.1";
		options.self.key = { 7, 9 };
		snprintf(options.self.name, sizeof(options.self.name), "%s", name);
		snprintf(options.self.ip, sizeof(options.self.ip), "127.0.0.1");
		memset(options.cluster_key, key_byte, sizeof(options.cluster_key));
		options.on_message = [](const struct dw_peer_identity *from, uint8_t type,
					const struct dw_peer_payload *payload, void *data) {
			Node *node = static_cast<Node *>(data);

			node->last_sender = from->name;
			node->received.push_back(std::to_string(type) + ":" +
						 std::string(payload->value->via.str.ptr,
							     payload->value->via.str.size));
		};
		options.data = this;
		ASSERT_EQ(dw_peer_mesh_start(&mesh, loop, &options), DW_OK);
	}

	void send(const Node &to, uint8_t type, const std::string &text)
	{
		msgpack_sbuffer bytes;
		msgpack_packer packer;

		msgpack_sbuffer_init(&bytes);
		msgpack_packer_init(&packer, &bytes, msgpack_sbuffer_write);
		msgpack_pack_str_with_body(&packer, text.data(), text.size());
		dw_peer_mesh_send(mesh, "127.0.0.1", dw_peer_mesh_port(to.mesh), type, bytes.data,
				  bytes.size);
		msgpack_sbuffer_destroy(&bytes);
	}
};

struct PeerMesh : public ::testing::Test {
	uv_loop_t loop;
	Node a;
	Node b;

	void SetUp() override
	{
		uv_loop_init(&loop);
	}

	void TearDown() override
	{
		dw_peer_mesh_stop(a.mesh);
		dw_peer_mesh_stop(b.mesh);
		uv_run(&loop, UV_RUN_DEFAULT);
		EXPECT_EQ(uv_loop_close(&loop), 0);
	}

	template <typename Condition> void run_until(Condition condition)
	{
		uint64_t deadline_us = dw_clock_now_us() + 10 * DW_US_PER_S;

		while (!condition() && dw_clock_now_us() < deadline_us)
			uv_run(&loop, UV_RUN_ONCE);
		ASSERT_TRUE(condition());
	}

	// Writes raw bytes to b on a new connection and expects b to reject the peer.
	void expect_rejected(const std::string &bytes)
	{
		struct sockaddr_in address = {};
		int fd = socket(AF_INET, SOCK_STREAM, 0);

		address.sin_family = AF_INET;
		address.sin_port = htons(dw_peer_mesh_port(b.mesh));
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		ASSERT_EQ(connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
		ASSERT_EQ(write(fd, bytes.data(), bytes.size()), (ssize_t)bytes.size());
		uint64_t before = dw_peer_mesh_stats(b.mesh)->refused_peers;
		run_until([&] { return dw_peer_mesh_stats(b.mesh)->refused_peers > before; });
		EXPECT_TRUE(b.received.empty());
		close(fd);
	}
};

TEST_F(PeerMesh, DeliversMessagesInOrderWithSenderName)
{
	a.start(&loop, "haarlem-1", 1);
	b.start(&loop, "zaandam-1", 1);
	a.send(b, 3, "first");
	a.send(b, 4, std::string(300000, 'x'));
	a.send(b, 5, "last");
	run_until([&] { return b.received.size() == 3; });
	EXPECT_EQ(b.received[0], "3:first");
	EXPECT_EQ(b.received[2], "5:last");
	EXPECT_EQ(b.last_sender, "haarlem-1");
	b.send(a, 1, "back");
	run_until([&] { return a.received.size() == 1; });
}

TEST_F(PeerMesh, RejectsPeerWithDifferentClusterKey)
{
	a.start(&loop, "intruder", 2);
	b.start(&loop, "zaandam-1", 1);
	a.send(b, 3, "forged");
	run_until([&] { return dw_peer_mesh_stats(b.mesh)->refused_peers > 0; });
	EXPECT_TRUE(b.received.empty());
}

TEST_F(PeerMesh, RejectsMalformedAndOversizedInput)
{
	std::string greeting = "dwpeer01" + std::string(DW_CHANNEL_NONCE_BYTES, 'n');
	std::string header(DW_CHANNEL_HEADER_BYTES, 'h');

	a.start(&loop, "haarlem-1", 1);
	b.start(&loop, "zaandam-1", 1);
	// Not a greeting of the peer protocol.
	expect_rejected("GET / HTTP/1.1\r\nhost: somewhere\r\n\r\n" + std::string(40, 'x'));
	// Frame length above the limit.
	expect_rejected(greeting + header + std::string("\xff\xff\xff\xff", 4));
	// Frame that is not encrypted with the cluster key.
	expect_rejected(greeting + header + std::string("\0\0\0\x40", 4) + std::string(64, 'f'));
	// Frame shorter than its encryption overhead.
	expect_rejected(greeting + header + std::string("\0\0\0\0", 4));
}

} // namespace
