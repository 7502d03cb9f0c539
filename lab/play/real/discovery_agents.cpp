// A list's index is its version and one, so that the list of the start has index 1.
#include "play/real/discovery_agents.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>

#include "model/settings.h"

namespace lemonchute::lab {
namespace {

// The number behind `name` in a query; `absent` where there is none.
long Query(const std::string& target, const std::string& name, long absent) {
  for (char before : {'?', '&'}) {
    size_t at = target.find(before + name + "=");
    if (at != std::string::npos) return std::strtol(target.c_str() + at + name.size() + 2, nullptr, 10);
  }
  return absent;
}

}  // namespace

DiscoveryAgents::DiscoveryAgents(World& world)
    : world_(world), discovery_agents_(static_cast<size_t>(world.day.gateways)) {
  for (int g = 0; g < world.day.gateways; ++g) {
    HttpServer::Calls calls;
    calls.request = [this, g](const HttpServer::PeerPtr& peer, const HttpRequest& request) {
      Ask(g, peer, request);
    };
    calls.gone = [this, g](uint64_t peer) {
      auto& waiting = discovery_agents_[static_cast<size_t>(g)].waiting;
      waiting.erase(std::remove_if(waiting.begin(), waiting.end(),
                                   [&](const Waiting& w) { return w.peer->id() == peer; }),
                    waiting.end());
    };
    discovery_agents_[static_cast<size_t>(g)].server =
        std::make_unique<HttpServer>(world.io, world.slice.Agent(g), std::move(calls));
    discovery_agents_[static_cast<size_t>(g)].server->Open();
  }
}

void DiscoveryAgents::Begin() {
  epoch_ms_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count();
}

nlohmann::json DiscoveryAgents::Entries(int gateway, const std::vector<Discovery::Entry>& entries) const {
  nlohmann::json list = nlohmann::json::array();
  for (const Discovery::Entry& entry : entries) {
    list.push_back(DiscoveryEntryOf(world_.day, entry, Slice::Text(world_.BackendAt(gateway, entry.backend)),
                                    epoch_ms_));
  }
  return list;
}

nlohmann::json DiscoveryAgents::Known(int gateway) const {
  int version = world_.discovery.VersionAt(gateway, world_.Now());
  return {{"index", version + 1},
          {"snapshot", true},
          {"endpoints", Entries(gateway, world_.discovery.ListAt(version))}};
}

bool DiscoveryAgents::Answers(int gateway) const {
  return !silent_ && !refuses_ && world_.paths.Passes(gateway, RemoteParty::kDiscovery);
}

void DiscoveryAgents::Ask(int gateway, const HttpServer::PeerPtr& peer, const HttpRequest& request) {
  std::string target(request.target().data(), request.target().size());
  if (target.rfind("/api/targets", 0) != 0) return peer->Reply(HttpAnswer(404, "", ""));
  if (refuses_) return peer->Reply(HttpAnswer(503, "", ""));
  Micros wait = std::clamp(Query(target, "wait_ms", 0), 0L, 60'000L) * 1000;
  discovery_agents_[static_cast<size_t>(gateway)].waiting.push_back(
      {peer, static_cast<int>(Query(target, "after", -1)),
       Schedule::Clock::now() + std::chrono::microseconds(wait)});
  Flush(gateway);
  if (wait > 0) world_.schedule.After(wait, [this, gateway] { Flush(gateway); });
}

// Answers those of the waiting for whom there is something, or whose time is over.
void DiscoveryAgents::Flush(int gateway) {
  if (silent_) return;
  auto& waiting = discovery_agents_[static_cast<size_t>(gateway)].waiting;
  int version = world_.discovery.VersionAt(gateway, world_.Now());
  for (size_t i = 0; i < waiting.size();) {
    const Waiting& call = waiting[i];
    bool all = call.after < 1 || call.after > version + 1;
    if (!all && call.after == version + 1 && Schedule::Clock::now() < call.until) {
      ++i;
      continue;
    }
    nlohmann::json answer = Known(gateway);
    if (!all) {
      std::vector<Discovery::Entry> entries;
      for (int v = call.after - 1; v < version; ++v)
        entries.push_back(world_.discovery.changes()[static_cast<size_t>(v)].entry);
      answer["snapshot"] = false, answer["endpoints"] = Entries(gateway, entries);
    }
    HttpServer::PeerPtr peer = call.peer;
    waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(i));
    peer->Reply(HttpAnswer(200, "Content-Type: application/json\r\n", answer.dump()));
  }
}

void DiscoveryAgents::Tell(const Discovery::Entry& entry) {
  std::vector<Micros> told;
  world_.discovery.Publish(world_.Now(), entry, &told);
  for (size_t g = 0; g < told.size(); ++g) {
    if (told[g] != kNever) world_.schedule.At(told[g], [this, g] { Flush(static_cast<int>(g)); });
  }
}

void DiscoveryAgents::Cut(int gateway, bool cut) {
  world_.discovery.SetCut(gateway, cut, world_.Now());
  auto newest = static_cast<int>(world_.discovery.changes().size());
  if (!cut && newest > 0)
    world_.schedule.At(world_.discovery.NotifiedAt(gateway, newest), [this, gateway] { Flush(gateway); });
}

void DiscoveryAgents::Refuse(bool refuse) {
  refuses_ = refuse;
  for (Agent& agent : discovery_agents_) {
    std::vector<Waiting> waiting;
    std::swap(waiting, agent.waiting);
    for (const Waiting& call : waiting) call.peer->Reply(HttpAnswer(503, "", ""));
  }
  Silent(refuse);
}

void DiscoveryAgents::Silent(bool silent) {
  silent_ = silent;
  std::vector<Micros> told;
  world_.discovery.SetSilent(silent, world_.Now(), &told);
  for (size_t g = 0; g < discovery_agents_.size() && !silent; ++g) {
    Flush(static_cast<int>(g));
    if (g < told.size()) world_.schedule.At(told[g], [this, g] { Flush(static_cast<int>(g)); });
  }
}

}  // namespace lemonchute::lab
