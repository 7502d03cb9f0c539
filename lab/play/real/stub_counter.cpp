// hiredis reads the calls: a call has the form of a reply that is a list. What is no such list gets -ERR.
#include "play/real/stub_counter.h"

#include <boost/asio/write.hpp>
#include <cstdlib>

namespace lemonchute::lab {
namespace {

constexpr size_t kMostConnections = 32;  // of a gateway (PROTOCOL); further ones are reset

}  // namespace

StubCounter::StubCounter(asio::io_context& io, Schedule& schedule, const tcp::endpoint& at, Call call)
    : schedule_(schedule), acceptor_(io, at, true), call_(std::move(call)) {
  Accept();
}

StubCounter::~StubCounter() {
  while (!peers_.empty()) End(*peers_.begin());
}

void StubCounter::Accept() {
  acceptor_.async_accept([this](boost::system::error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    boost::system::error_code ignored;
    if (!error && peers_.size() >= kMostConnections) {
      socket.set_option(asio::socket_base::linger(true, 0), ignored);
      socket.close(ignored);
    } else if (!error) {
      socket.set_option(tcp::no_delay(true), ignored);
      auto peer = std::make_shared<Peer>(std::move(socket));
      peers_.insert(peer);
      Read(peer);
    }
    Accept();
  });
}

void StubCounter::Read(const std::shared_ptr<Peer>& peer) {
  peer->socket.async_read_some(
      asio::buffer(peer->part), [this, peer](boost::system::error_code error, size_t n) {
        if (peer->gone) return;
        if (error || redisReaderFeed(peer->reader.get(), peer->part.data(), n) != REDIS_OK) return End(peer);
        for (;;) {
          void* call = nullptr;
          if (redisReaderGetReply(peer->reader.get(), &call) != REDIS_OK) return End(peer);
          if (call == nullptr) break;
          std::unique_ptr<redisReply, void (*)(void*)> reply(static_cast<redisReply*>(call), freeReplyObject);
          Take(peer, *reply);
          if (peer->gone) return;
        }
        Read(peer);
      });
}

void StubCounter::Take(const std::shared_ptr<Peer>& peer, const redisReply& call) {
  auto slot = std::make_shared<Peer::Slot>();
  peer->answers.push_back(slot);
  auto word = [&](size_t i) {
    return std::string_view(call.element[i]->str == nullptr ? "" : call.element[i]->str,
                            call.element[i]->len);
  };
  size_t words = call.type == REDIS_REPLY_ARRAY ? call.elements : 0;
  for (size_t i = 0; i < words; ++i) words = call.element[i]->type == REDIS_REPLY_STRING ? words : 0;
  if (words == 1 && word(0) == "PING") return Answer(peer, slot, "+PONG\r\n");
  if (words >= 1 && (word(0) == "CLIENT" || word(0) == "SELECT")) return Answer(peer, slot, "+OK\r\n");
  if (words != 4 || word(0) != "TALLY" || word(1).empty() || word(1).size() > 64)
    return Answer(peer, slot, "-ERR no such call\r\n");
  std::string amount(word(2)), keep(word(3));
  char* amount_end = nullptr;
  char* keep_end = nullptr;
  double add = std::strtod(amount.c_str(), &amount_end), keep_ms = std::strtod(keep.c_str(), &keep_end);
  if (amount.empty() || *amount_end != 0 || keep.empty() || *keep_end != 0 || !(std::abs(add) <= 1e9) ||
      !(keep_ms >= 1)) {
    return Answer(peer, slot, "-ERR a number is no number, or out of range\r\n");
  }
  Counter::Reply answer = call_(word(1), add, keep_ms);
  if (answer.kind == Counter::ReplyKind::kNoReply) return;  // nothing comes, here and behind it
  char total[40];
  int length = std::snprintf(total, sizeof(total), "%.7g", answer.total);
  std::string text = answer.kind == Counter::ReplyKind::kBusy
                         ? "-BUSY\r\n"
                         : "$" + std::to_string(length) + "\r\n" + total + "\r\n";
  schedule_.At(answer.at, [this, peer, slot, text] { Answer(peer, slot, text); });
}

void StubCounter::Answer(const std::shared_ptr<Peer>& peer, const std::shared_ptr<Peer::Slot>& slot,
                         std::string text) {
  slot->text = std::move(text);
  slot->ready = true;
  if (!peer->gone && peer->writing.empty()) Flush(peer);
}

void StubCounter::Flush(const std::shared_ptr<Peer>& peer) {
  while (!peer->answers.empty() && peer->answers.front()->ready) {
    peer->writing += peer->answers.front()->text;
    peer->answers.pop_front();
  }
  if (peer->writing.empty()) return;
  asio::async_write(peer->socket, asio::buffer(peer->writing),
                    [this, peer](boost::system::error_code error, size_t) {
                      if (peer->gone) return;
                      if (error) return End(peer);
                      peer->writing.clear();
                      Flush(peer);
                    });
}

void StubCounter::End(const std::shared_ptr<Peer>& peer) {
  peer->gone = true;
  boost::system::error_code ignored;
  peer->socket.close(ignored);
  peers_.erase(peer);
}

}  // namespace lemonchute::lab
