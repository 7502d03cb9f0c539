// Beast does the parsing; what ends a connection is told once, to whoever holds a request on it.
#include "play/real/http.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>

#include "play/real/receive_timestamps.h"

namespace lemonchute::lab {
namespace {

using boost::system::error_code;
constexpr uint64_t kMostBody = 64u << 20;  // past what any page lets a message have
constexpr size_t kReadAtOnce = 64 * 1024;

void ResetSocket(tcp::socket* socket) {
  error_code ignored;
  socket->set_option(asio::socket_base::linger(true, 0), ignored);
  socket->close(ignored);
}

}  // namespace

std::string Header(const HttpRequest& request, const char* name) {
  auto value = request[name];
  return std::string(value.data(), value.size());
}

std::string HttpAnswer(int status, const std::string& headers, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " " +
         std::string(http::obsolete_reason(http::int_to_status(static_cast<unsigned>(status)))) + "\r\n" +
         headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

HttpServer::Peer::Peer(HttpServer* server, tcp::socket socket, uint64_t id)
    : server_(server), socket_(std::move(socket)), id_(id) {
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  from_ = socket_.remote_endpoint(ignored);
}

void HttpServer::Peer::Read() {
  parser_.emplace();
  parser_->body_limit(kMostBody);
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
    if (self->gone_) return;
    if (error) return self->Gone();
    self->arrived_at_ = WaitingSince(self->socket_.native_handle()).value_or(Received::Clock::now());
    self->ReadRequest();
  });
}

void HttpServer::Peer::ReadRequest() {
  http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](error_code error, size_t) {
    if (self->gone_) return;
    if (error) return self->Gone();
    self->busy_ = true;
    ++self->requests_;
    self->Watch();
    self->server_->calls_.request(self, self->parser_->release());
  });
}

// While an answer is awaited nothing more may come: an end of the other side's sending gives the request up.
void HttpServer::Peer::Watch() {
  if (watching_ || gone_) return;
  watching_ = true;
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
    self->watching_ = false;
    if (error || self->gone_ || !self->busy_) return;
    char byte = 0;
    error_code ended;
    size_t n = self->socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ended);
    if (ended == asio::error::would_block) return self->Watch();
    if (ended || n == 0) self->Gone();
  });
}

void HttpServer::Peer::Gone() {
  if (gone_) return;
  gone_ = true;
  error_code ignored;
  socket_.close(ignored);
  auto self = shared_from_this();
  bool busy = std::exchange(busy_, false);
  HttpServer* server = server_;
  server->peers_.erase(id_);
  if (busy) server->calls_.gone(id_);
}

void HttpServer::Peer::Reset() {
  if (gone_) return;
  ResetSocket(&socket_);
  Gone();
}

void HttpServer::Peer::Reply(std::string bytes, std::function<void()> written) {
  if (gone_) return;
  out_ = std::move(bytes);
  asio::async_write(socket_, asio::buffer(out_),
                    [self = shared_from_this(), written = std::move(written)](error_code error, size_t) {
                      if (self->gone_) return;
                      if (error) return self->Gone();
                      self->busy_ = false;
                      if (written) written();
                      self->Read();
                    });
}

HttpServer::HttpServer(asio::io_context& io, const tcp::endpoint& at, Calls calls)
    : io_(io), at_(at), calls_(std::move(calls)) {}

HttpServer::~HttpServer() {
  calls_.gone = [](uint64_t) {};
  Close();
}

void HttpServer::Open() {
  acceptor_.emplace(io_, at_, true);
  error_code ignored;
  acceptor_->set_option(ReceiveTimestamps(true), ignored);
  Accept();
}

void HttpServer::Close() {
  acceptor_.reset();
  while (!peers_.empty()) {
    PeerPtr peer = peers_.begin()->second;
    peer->Reset();
  }
}

void HttpServer::Accept() {
  acceptor_->async_accept([this](error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error && calls_.admits && !calls_.admits()) {
      ResetSocket(&socket);
    } else if (!error) {
      auto peer = std::make_shared<Peer>(this, std::move(socket), ++last_);
      peers_[peer->id()] = peer;
      peer->Read();
    }
    if (acceptor_) Accept();
  });
}

void HttpConnection::Ask(const tcp::endpoint& to, std::string request, std::function<void(Answer)> done) {
  out_ = std::move(request);
  done_ = std::move(done);
  exchange_ = {};
  exchange_.asked_at = Clock::now();
  if (socket_.is_open()) return Write();
  socket_.async_connect(to, [self = shared_from_this()](error_code error) {
    if (error) return self->End({Failed::kRefused, 0, {}, {}, false, {}});
    error_code ignored;
    self->socket_.set_option(tcp::no_delay(true), ignored);
    self->socket_.set_option(ReceiveTimestamps(true), ignored);
    self->Write();
  });
}

// The socket has room for a request, so its bytes are out before the call returns; its handler may be late.
void HttpConnection::Write() {
  exchange_.written_at = Clock::now();
  asio::async_write(socket_, asio::buffer(out_), [self = shared_from_this()](error_code error, size_t) {
    if (error) return self->End({Failed::kClosedUnheard, 0, {}, {}, false, {}});
    self->parser_.emplace();
    self->parser_->body_limit(kMostBody);
    self->parser_->eager(true);
    self->Read();
  });
}

void HttpConnection::Read() {
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
    if (error) return self->OnEnd(false);
    self->OnReadable();
  });
}

void HttpConnection::OnReadable() {
  auto room = buffer_.prepare(kReadAtOnce);
  Received received = Receive(socket_.native_handle(), room.data(), room.size());
  if (received.WouldBlock()) return Read();
  exchange_.read_at = Clock::now();
  exchange_.arrived_at = received.arrived_at.value_or(exchange_.read_at);
  if (received.size <= 0) return OnEnd(received.size == 0);
  buffer_.commit(static_cast<size_t>(received.size));
  Parse();
}

// An answer without a length is whole where its connection ends in order.
void HttpConnection::OnEnd(bool in_order) {
  error_code error;
  if (in_order && parser_->got_some()) parser_->put_eof(error);
  if (in_order && !error && parser_->is_done()) return Finish();
  bool unheard = !parser_->got_some() && buffer_.size() == 0;
  End({unheard ? Failed::kClosedUnheard : Failed::kBroken, 0, {}, {}, false, {}});
}

void HttpConnection::Parse() {
  error_code error;
  buffer_.consume(parser_->put(buffer_.data(), error));
  if (error == http::error::need_more) return Read();
  if (error) return End({Failed::kBroken, 0, {}, {}, false, {}});
  parser_->is_done() ? Finish() : Read();
}

void HttpConnection::Finish() {
  Answer answer;
  auto message = parser_->release();
  answer.status = static_cast<int>(message.result_int());
  auto after = message[http::field::retry_after];
  answer.retry_after.assign(after.data(), after.size());
  answer.body = std::move(message.body());
  answer.keeps = message.keep_alive();
  ++answers_;
  End(std::move(answer));
}

bool HttpConnection::IsConnected() const {
  error_code error;
  socket_.remote_endpoint(error);
  return !error;
}

std::optional<HttpConnection::Clock::time_point> HttpConnection::UnreadSince() const {
  if (!socket_.is_open()) return std::nullopt;
  return WaitingSince(const_cast<tcp::socket&>(socket_).native_handle());
}

void HttpConnection::End(Answer answer) {
  if (!done_) return;
  if (!answer.keeps) Close();
  answer.exchange = exchange_;
  auto done = std::exchange(done_, nullptr);
  done(std::move(answer));
}

void HttpConnection::Close() {
  error_code ignored;
  socket_.close(ignored);
}

}  // namespace lemonchute::lab
