// Owns HTTP/1.1 on the lab's side: a server for the stand-ins and a connection for clients, the front and
// operators. Everything is asynchronous on one event loop.
#ifndef LEMONCHUTE_LAB_PLAY_REAL_HTTP_H_
#define LEMONCHUTE_LAB_PLAY_REAL_HTTP_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace lemonchute::lab {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using HttpRequest = http::request<http::string_body>;

// The value of a header; empty where there is none.
std::string Header(const HttpRequest& request, const char* name);
std::string HttpAnswer(int status, const std::string& headers, const std::string& body);

class HttpServer {
 public:
  // One connection; a request at a time.
  class Peer : public std::enable_shared_from_this<Peer> {
   public:
    Peer(HttpServer* server, tcp::socket socket, uint64_t id);
    uint64_t id() const { return id_; }
    int requests() const { return requests_; }
    const tcp::endpoint& from() const { return from_; }
    // When the kernel took the first byte of the newest request.
    std::chrono::steady_clock::time_point arrived_at() const { return arrived_at_; }
    void Reply(std::string bytes, std::function<void()> written = {});
    void Reset();

   private:
    friend class HttpServer;
    void Read();
    void ReadRequest();
    void Watch();
    void Gone();

    HttpServer* server_;
    tcp::socket socket_;
    tcp::endpoint from_;
    uint64_t id_;
    boost::beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    std::string out_;
    std::chrono::steady_clock::time_point arrived_at_;
    int requests_ = 0;
    bool busy_ = false, watching_ = false, gone_ = false;
  };
  using PeerPtr = std::shared_ptr<Peer>;
  struct Calls {
    std::function<bool()> admits;  // whether a new connection is taken; a no resets it
    std::function<void(const PeerPtr&, HttpRequest)> request;
    std::function<void(uint64_t peer)> gone;  // it ended while a request on it was open
  };

  HttpServer(asio::io_context& io, const tcp::endpoint& at, Calls calls);
  ~HttpServer();
  // Throws boost::system::system_error where the address is taken.
  void Open();
  // Stops listening and resets all connections, as a process does that ends.
  void Close();
  size_t connections() const { return peers_.size(); }

 private:
  void Accept();

  asio::io_context& io_;
  tcp::endpoint at_;
  Calls calls_;
  std::optional<tcp::acceptor> acceptor_;
  std::unordered_map<uint64_t, PeerPtr> peers_;
  uint64_t last_ = 0;
};

// The client's side of one connection. Every exchange carries the moments of its steps, so that a late answer
// can be told from one that this program was late to read.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  using Clock = std::chrono::steady_clock;
  enum class Failed { kNo, kRefused, kClosedUnheard, kBroken };
  struct Exchange {
    Clock::time_point asked_at, written_at;
    Clock::time_point arrived_at;  // when the kernel took the newest bytes of the answer
    Clock::time_point read_at;     // when this program read them
  };
  struct Answer {
    Failed failed = Failed::kNo;
    int status = 0;
    std::string retry_after, body;
    bool keeps = false;  // the connection may be used again
    Exchange exchange;
  };
  explicit HttpConnection(asio::io_context& io) : socket_(io) {}
  // Writes `request`, on a connection made now where there is none, and reads one answer.
  void Ask(const tcp::endpoint& to, std::string request, std::function<void(Answer)> done);
  void Close();
  bool used() const { return answers_ > 0; }
  const Exchange& exchange() const { return exchange_; }
  // Whether the connection is up, as the kernel has it: this program may still have to hear of it.
  bool IsConnected() const;
  // When the kernel took the oldest bytes that wait to be read, or the end of the connection; none: nothing
  // waits.
  std::optional<Clock::time_point> UnreadSince() const;

 private:
  void Write();
  void Read();
  void OnReadable();
  void OnEnd(bool in_order);
  void Parse();
  void Finish();
  void End(Answer answer);

  tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::response_parser<http::string_body>> parser_;
  std::string out_;
  std::function<void(Answer)> done_;
  Exchange exchange_;
  int answers_ = 0;
};

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_PLAY_REAL_HTTP_H_
