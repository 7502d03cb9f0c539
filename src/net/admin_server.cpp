#include "net/admin_server.h"

#include "net/message_decoding.h"
#include "net/one_shot_timer.h"
#include "net/send_watch.h"

namespace lemonchute::net {
namespace {

constexpr size_t kMaxHeadBytes = 8192;  // of a request
constexpr size_t kMaxTrailingBytes =
    2 * AdminServer::kMaxBodyBytes;  // after a request, until its response is read
constexpr auto kRequestTimeout =
    std::chrono::milliseconds(3000);  // until a request is complete and has its response
// For the caller to close its end after its response.
constexpr auto kLingerTimeout = std::chrono::milliseconds(1000);
constexpr int kBacklog = 128;

}  // namespace

// One connection: reads a request, writes the response and closes. Keeps itself alive by its pending
// handlers.
class AdminServer::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(AdminServer* server, tcp::socket socket)
      : server_(server), socket_(std::move(socket)), timer_(server->io_) {}

  void Start() {
    ConfigureSocket(socket_);
    ResetParser(&parser_, kMaxBodyBytes);
    parser_->header_limit(kMaxHeadBytes);
    StartTimeout(kRequestTimeout);
    Read();
  }

  void Close() {
    if (closed_) return;
    auto self = shared_from_this();
    Detach();
    server_->connections_.remove(self);
  }
  void Detach() {
    closed_ = true;
    timer_.Cancel();
    CloseNow(socket_);
  }

 private:
  void StartTimeout(std::chrono::milliseconds timeout) {
    timer_.Start(timeout, [self = shared_from_this(), this] { Close(); });
  }

  void ScheduleWriteCheck() {
    timer_.Start(kSendCheckInterval, [self = shared_from_this(), this] {
      send_watch_.IsTooSlow(socket_, Clock::now()) ? Close() : ScheduleWriteCheck();
    });
  }

  void Read() {
    socket_.async_read_some(buffer_.prepare(kReadChunk),
                            [self = shared_from_this(), this](error_code error, size_t size) {
                              if (closed_) return;
                              if (error) return Close();
                              buffer_.commit(size);
                              if (responded_) {
                                trailing_bytes_ += size;
                                buffer_.clear();
                                if (trailing_bytes_ > kMaxTrailingBytes) return Close();
                              } else {
                                Parse();
                              }
                              if (!closed_) Read();
                            });
  }

  void Parse() {
    error_code error = ParseMessage(*parser_, buffer_, kMaxHeadBytes);
    if (error == http::error::body_limit) return Respond({413, "a body of at most 131072 bytes\n"});
    if (error == http::error::header_limit) return Respond({431, "a head of at most 8192 bytes\n"});
    if (error) return Respond({400, "not a call\n"});
    if (parser_->is_done()) {
      const auto& request = parser_->get();
      bool declares_body = request.count(http::field::content_length) > 0 || request.chunked();
      return Respond(
          server_->handler_({std::string(ToStringView(request.method_string())),
                             std::string(ToStringView(request.target())), request.body(), declares_body}));
    }
    if (parser_->is_header_done() && !continue_sent_ &&
        boost::beast::iequals(parser_->get()[http::field::expect], "100-continue")) {
      continue_sent_ = true;
      SendAvailable(socket_, "HTTP/1.1 100 Continue\r\n\r\n", error);  // the next read detects a failure
    }
  }

  void Respond(const AdminResponse& response) {
    responded_ = true;
    buffer_.clear();
    message_ = "HTTP/1.1 " + std::to_string(response.status) + " " +
               std::string(ToStringView(http::obsolete_reason(static_cast<http::status>(response.status)))) +
               "\r\nContent-Type: " + response.content_type +
               "\r\nConnection: close\r\nContent-Length: " + std::to_string(response.body.size()) +
               "\r\n\r\n" + response.body;
    send_watch_.Resume(socket_, Clock::now());
    ScheduleWriteCheck();
    WriteAll(socket_, message_, [self = shared_from_this(), this](error_code error) {
      if (closed_) return;
      if (error) return Close();
      StartTimeout(kLingerTimeout);
      socket_.shutdown(tcp::socket::shutdown_send, error);  // closed when the caller closes its end
    });
  }

  AdminServer* server_;
  tcp::socket socket_;
  OneShotTimer timer_;  // limits the request, then its response, then lingering
  SendWatch send_watch_;
  boost::beast::flat_buffer buffer_{kMaxHeadBytes + kReadChunk};
  std::optional<http::request_parser<http::string_body>> parser_;
  std::string message_;
  size_t trailing_bytes_ = 0;
  bool responded_ = false, continue_sent_ = false, closed_ = false;
};

AdminServer::AdminServer(asio::io_context& io, const tcp::endpoint& address, Handler handler)
    : io_(io), listener_(io), handler_(std::move(handler)) {
  listener_.Listen(address, kBacklog);
  Accept();
}

AdminServer::~AdminServer() {
  for (auto& connection : connections_) connection->Detach();
}

void AdminServer::Accept() {
  listener_.Accept([this](tcp::socket socket) {
    // A complete request gets its response at once, so the oldest connection is an idle or slow one.
    if (connections_.size() >= kMaxConnections) std::shared_ptr<Connection>(connections_.front())->Close();
    connections_.push_back(std::make_shared<Connection>(this, std::move(socket)));
    std::shared_ptr<Connection>(connections_.back())->Start();
    Accept();
  });
}

}  // namespace lemonchute::net
