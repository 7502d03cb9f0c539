// Owns what the parts of a real day share: the event loop, the clock, the model and the judge.
#ifndef LEMONCHUTE_LAB_PLAY_REAL_WORLD_H_
#define LEMONCHUTE_LAB_PLAY_REAL_WORLD_H_

#include <spdlog/logger.h>

#include <boost/asio/io_context.hpp>
#include <map>
#include <vector>

#include "model/client_router.h"
#include "model/counter.h"
#include "model/discovery.h"
#include "model/network.h"
#include "model/paths.h"
#include "model/run_checker.h"
#include "play/real/schedule.h"
#include "play/real/site.h"

namespace lemonchute::lab {

struct World {
  explicit World(const RunSpec& d)
      : day(d),
        schedule(io),
        slice(io),
        network(d),
        paths(d),
        discovery(d),
        counter(d),
        client_router(d),
        judge(d, discovery) {}
  Micros Now() const { return schedule.Now(); }
  // Where a gateway finds each party.
  boost::asio::ip::tcp::endpoint AgentAt(int g) const { return relayed ? slice.AgentVia(g) : slice.Agent(g); }
  boost::asio::ip::tcp::endpoint CounterAt(int g) const {
    return relayed ? slice.CounterVia(g) : slice.Counter(g);
  }
  boost::asio::ip::tcp::endpoint BackendAt(int g, int b) const {
    return relayed ? slice.BackendVia(g, b) : slice.Backend(b);
  }

  const RunSpec& day;
  const bool relayed = day.HasStreamFaults();  // streams go through a relay, so that their paths can fail
  boost::asio::io_context io{1};
  Schedule schedule;
  Slice slice;
  Network network;
  Paths paths;
  Discovery discovery;
  Counter counter;
  ClientRouter client_router;
  RunChecker judge;
  // By both ends of a relay's connection (one end's port may serve several): when its gateway wrote what is
  // under way on it now.
  using Ends = std::pair<boost::asio::ip::tcp::endpoint, boost::asio::ip::tcp::endpoint>;
  std::map<Ends, Micros> written_at;
  // By gateway: attempts that it may have written whole, and a path kept from their backend for good.
  std::vector<uint64_t> swallowed = std::vector<uint64_t>(static_cast<size_t>(day.gateways), 0);
  // By gateway: when it was told to end, while its process still runs; kNever for the others.
  std::vector<Micros> told_to_end_at = std::vector<Micros>(static_cast<size_t>(day.gateways), kNever);
  std::shared_ptr<spdlog::logger> log;  // of the lab itself
  std::vector<Micros> beside;           // of each served try: the client's time less the backend's
};

// A request's id on the wire, and back: the try's number under the seed, so that no two days share ids.
std::string RequestId(const RunSpec& day, uint32_t id);
std::optional<uint32_t> TryOf(const RunSpec& day, const std::string& text);
// What the backend answers to that try; a client can tell it from any other.
std::string BodyOf(uint32_t id);

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_PLAY_REAL_WORLD_H_
