// Owns discovery's agents, one for each gateway: the whole list, and watches that wait for what is new.
#ifndef LEMONCHUTE_LAB_PLAY_REAL_DISCOVERY_AGENTS_H_
#define LEMONCHUTE_LAB_PLAY_REAL_DISCOVERY_AGENTS_H_

#include <memory>
#include <vector>

#include "play/real/http.h"
#include "play/real/world.h"

namespace lemonchute::lab {

class DiscoveryAgents {
 public:
  explicit DiscoveryAgents(World& world);
  void Begin();  // the day begins now: starts are told in Unix time from here on
  void Tell(const Discovery::Entry& entry);
  void Silent(bool silent);
  void Cut(int gateway, bool cut);  // its path to discovery passes nothing
  void Refuse(bool refuse);         // every call gets a no
  // Whether a gateway that asks now is answered.
  bool Answers(int gateway) const;
  // A gateway's list as it last had it, in discovery's form.
  nlohmann::json Known(int gateway) const;

 private:
  struct Waiting {
    HttpServer::PeerPtr peer;
    int after = -1;  // index of the list that the caller has; -1: it wants all
    Schedule::Clock::time_point until;
  };
  struct Agent {
    std::unique_ptr<HttpServer> server;
    std::vector<Waiting> waiting;
  };
  void Ask(int gateway, const HttpServer::PeerPtr& peer, const HttpRequest& request);
  void Flush(int gateway);
  nlohmann::json Entries(int gateway, const std::vector<Discovery::Entry>& entries) const;

  World& world_;
  int64_t epoch_ms_ = 0;
  bool silent_ = false, refuses_ = false;
  std::vector<Agent> discovery_agents_;
};

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_PLAY_REAL_DISCOVERY_AGENTS_H_
