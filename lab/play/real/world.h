// Owns what the parts of a real day share: the event loop, the clock, the model and the judge.
#ifndef LEMONCHUTE_LAB_PLAY_REAL_WORLD_H_
#define LEMONCHUTE_LAB_PLAY_REAL_WORLD_H_

#include <spdlog/logger.h>

#include <boost/asio/io_context.hpp>

#include "model/counter.h"
#include "model/discovery.h"
#include "model/front.h"
#include "model/judge.h"
#include "model/network.h"
#include "play/real/schedule.h"
#include "play/real/site.h"

namespace lemonchute::lab {

struct World {
  explicit World(const Day& d)
      : day(d),
        schedule(io),
        slice(io),
        network(d),
        discovery(d),
        counter(d),
        front(d),
        judge(d, discovery) {}
  Micros Now() const { return schedule.Now(); }

  const Day& day;
  boost::asio::io_context io{1};
  Schedule schedule;
  Slice slice;
  Network network;
  Discovery discovery;
  Counter counter;
  Front front;
  Judge judge;
  std::shared_ptr<spdlog::logger> log;  // of the lab itself
  std::vector<Micros> beside;           // of each served try: the client's time less the backend's
};

// A request's id on the wire, and back: the try's number under the seed, so that no two days share ids.
std::string RequestId(const Day& day, uint32_t id);
std::optional<uint32_t> TryOf(const Day& day, const std::string& text);
// What the backend answers to that try; a client can tell it from any other.
std::string BodyOf(uint32_t id);

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_PLAY_REAL_WORLD_H_
