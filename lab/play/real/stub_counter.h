// Owns the counter as one gateway finds it: RESP2 on an address of its own, in front of the site's one
// counter.
#ifndef LEMONCHUTE_LAB_PLAY_REAL_STUB_COUNTER_H_
#define LEMONCHUTE_LAB_PLAY_REAL_STUB_COUNTER_H_

#include <hiredis/hiredis.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <memory>
#include <set>

#include "model/counter.h"
#include "play/real/schedule.h"

namespace lemonchute::lab {

using tcp = boost::asio::ip::tcp;

class StubCounter {
 public:
  // `call`: what the counter says to a call that has reached it, with the way back in the answer's time.
  using Call = std::function<Counter::Reply(std::string_view name, double amount, double keep_ms)>;
  StubCounter(asio::io_context& io, Schedule& schedule, const tcp::endpoint& at, Call call);
  ~StubCounter();

 private:
  struct Peer : std::enable_shared_from_this<Peer> {
    explicit Peer(tcp::socket s) : socket(std::move(s)), reader(redisReaderCreate(), redisReaderFree) {}
    tcp::socket socket;
    std::unique_ptr<redisReader, void (*)(redisReader*)> reader;
    std::array<char, 16384> part;
    struct Slot {
      std::string text;
      bool ready = false;
    };
    std::deque<std::shared_ptr<Slot>> answers;  // in the order of the calls
    std::string writing;
    bool gone = false;
  };
  void Accept();
  void Read(const std::shared_ptr<Peer>& peer);
  void Take(const std::shared_ptr<Peer>& peer, const redisReply& call);
  void Answer(const std::shared_ptr<Peer>& peer, const std::shared_ptr<Peer::Slot>& slot, std::string text);
  void Flush(const std::shared_ptr<Peer>& peer);
  void End(const std::shared_ptr<Peer>& peer);

  Schedule& schedule_;
  tcp::acceptor acceptor_;
  Call call_;
  std::set<std::shared_ptr<Peer>> peers_;
};

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_PLAY_REAL_STUB_COUNTER_H_
