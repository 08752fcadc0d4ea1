// Tests the HTTP server for users and workers over loopback sockets.
#include "io/http_server.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <utility>
#include <vector>

namespace pitchfall::io {
namespace {

// A server with a small limit on connections on a free loopback port. It
// answers health checks at once, and polls of jobs only when a test answers
// them.
class HttpServerTest : public ::testing::Test {
 protected:
  static constexpr size_t kMaxConnections = 3;

  HttpServerTest() : base_(event_base_new()) {
    // Finds a free port: the kernel chooses one, and the probe releases it.
    int probe = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in sin = ToSockaddr({"127.0.0.1", 1});
    sin.sin_port = 0;
    socklen_t size = sizeof(sin);
    EXPECT_EQ(bind(probe, reinterpret_cast<sockaddr*>(&sin), size), 0);
    EXPECT_EQ(getsockname(probe, reinterpret_cast<sockaddr*>(&sin), &size), 0);
    close(probe);
    address_ = {"127.0.0.1", ntohs(sin.sin_port)};
    http_server_ = std::make_unique<HttpServer>(
        base_.get(), address_, kMaxConnections, [this](Command command) {
          if (auto* poll = std::get_if<PollJob>(&command)) {
            unanswered_requests_.push_back(poll->request);
          } else if (auto* check = std::get_if<HealthCheck>(&command)) {
            http_server_->SendReply({check->request, 200, {}, {}});
          }
        });
  }
  ~HttpServerTest() override {
    for (int fd : sockets_) close(fd);
  }

  int Connect() {
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in sin = ToSockaddr(address_);
    EXPECT_EQ(connect(fd, reinterpret_cast<sockaddr*>(&sin), sizeof(sin)), 0);
    sockets_.push_back(fd);
    return fd;
  }
  static void SendGet(int fd, const std::string& path) {
    std::string text = "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n";
    EXPECT_EQ(send(fd, text.data(), text.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(text.size()));
  }
  void RunEventLoop() {
    for (int turn = 0; turn < 50; ++turn) {
      event_base_loop(base_.get(), EVLOOP_NONBLOCK);
    }
  }
  // Runs the event loop a fixed number of turns and returns what the server has
  // sent on the connection. "<closed>" is appended if the server has closed it.
  std::string Read(int fd) {
    std::string text;
    for (int turn = 0; turn < 50; ++turn) {
      event_base_loop(base_.get(), EVLOOP_NONBLOCK);
      char buffer[4096];
      ssize_t n = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);
      if (n > 0) text.append(buffer, static_cast<size_t>(n));
      if (n == 0) return text + "<closed>";
    }
    return text;
  }

  EventBase base_;
  Address address_;
  std::vector<RequestId> unanswered_requests_;
  std::unique_ptr<HttpServer> http_server_;
  std::vector<int> sockets_;
};

// The other sockets are reserved for the process's own calls. Without them it
// could no longer reach the state service.
TEST_F(HttpServerTest, RejectsConnectionsBeyondTheMaximum) {
  for (size_t i = 0; i < kMaxConnections; ++i) {
    int fd = Connect();
    SendGet(fd, "/api/jobs/run-000001");
    EXPECT_EQ(Read(fd), "");
  }
  ASSERT_EQ(unanswered_requests_.size(), kMaxConnections);
  int extra = Connect();
  SendGet(extra, "/api/jobs/run-000001");
  std::string answer = Read(extra);
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << answer;
  EXPECT_NE(answer.find("Retry-After: 2"), std::string::npos) << answer;
  EXPECT_TRUE(answer.ends_with("<closed>")) << answer;
  // A health check is answered even then.
  int probe = Connect();
  SendGet(probe, "/healthz");
  EXPECT_TRUE(Read(probe).starts_with("HTTP/1.1 200"));
  close(probe);
  sockets_.pop_back();
  // A connection that has closed makes room for the next.
  http_server_->SendReply(
      {unanswered_requests_.front(), 404, Problem{"none"}, {}});
  EXPECT_TRUE(Read(sockets_.front()).starts_with("HTTP/1.1 404"));
  close(sockets_.front());
  sockets_.erase(sockets_.begin());
  RunEventLoop();
  int next = Connect();
  SendGet(next, "/api/jobs/run-000001");
  EXPECT_EQ(Read(next), "");
  EXPECT_EQ(unanswered_requests_.size(), kMaxConnections + 1);
}

// A connection must free its slot however it ends: closed by the client before,
// while or after its request is answered, or closed by the server.
TEST_F(HttpServerTest, EveryEndOfAConnectionFreesItsSlot) {
  for (int round = 0; round < 40; ++round) {
    int fd = Connect();
    if (round % 4 != 0) SendGet(fd, "/api/jobs/run-000001");
    if (round % 4 == 1) RunEventLoop();
    if (round % 4 == 2) {
      close(fd);
      sockets_.pop_back();
      RunEventLoop();
    }
    for (RequestId id : std::exchange(unanswered_requests_, {})) {
      http_server_->SendReply({id, 503, Problem{"later"}, {}, round % 8 == 3});
    }
    RunEventLoop();
    if (round % 4 != 2) {
      close(fd);
      sockets_.pop_back();
    }
    RunEventLoop();
    for (RequestId id : std::exchange(unanswered_requests_, {})) {
      http_server_->SendReply({id, 404, Problem{"none"}, {}});
    }
    RunEventLoop();
  }
  for (size_t i = 0; i < kMaxConnections; ++i) {
    int fd = Connect();
    SendGet(fd, "/api/jobs/run-000001");
    EXPECT_EQ(Read(fd), "");
  }
  EXPECT_EQ(unanswered_requests_.size(), kMaxConnections);
}

}  // namespace
}  // namespace pitchfall::io
