// Owns the gateway processes of a real day: configuration, start, readiness as the front sees it, signals,
// upgrades, and what became of each process.
#ifndef LEMONCHUTE_LAB_PLAY_REAL_FLEET_H_
#define LEMONCHUTE_LAB_PLAY_REAL_FLEET_H_

#include <memory>
#include <vector>

#include "play/real/agents.h"
#include "play/real/counter_stand.h"
#include "play/real/door.h"
#include "play/real/process.h"

namespace lemonchute::lab {

class Fleet {
 public:
  Fleet(World& world, Agents& agents, Door& door, std::string program, std::string folder);
  ~Fleet();

  // Starts all; `ready` is called once each says yes, or after 30 s, with the numbers of those that did not.
  void Start(std::function<void(std::vector<int> late)> ready);
  void Kill(int gateway);
  void Terminate(int gateway);
  void Revive(int gateway);
  void Stop(int gateway, bool stop);
  void Upgrade(int gateway);
  void Retune(double scale);  // a new configuration and SIGHUP, to all

  bool Answers(int gateway) const;
  bool Ready(int gateway) const { return members_[static_cast<size_t>(gateway)].ready; }
  // One process ran since the day began, and was not stopped.
  bool WholeDay(int gateway) const;
  // Which of the gateway's two addresses for operators its newest process has.
  int OpsOf(int gateway) const { return members_[static_cast<size_t>(gateway)].ops; }
  size_t Descriptors(int gateway);
  uint64_t hups() const { return hups_; }  // files that were replaced
  // Ends all processes: SIGTERM, after 5 s SIGKILL. `done` once all are gone.
  void End(std::function<void()> done);
  nlohmann::json Report();

 private:
  struct Member {
    std::vector<std::unique_ptr<Process>> processes;  // the newest last
    bool expected_end = false;                        // of the newest
    bool stopped = false, ready = false, whole_day = true;
    int launches = 0, ops = 0;
    size_t told_ended = 0;
    int listening = -1;
    std::shared_ptr<HttpConnection> front;
    bool asking = false;
    std::unique_ptr<CounterStand> counter;
    std::string temporary;
  };
  void LookReady(Micros until);  // again and again until all are, or until then
  void LookEnded(Micros until);
  void AskUpgraded(int gateway, int ops, Process* old, Micros until);
  void Launch(int gateway, bool beside);
  void AskReady(int gateway);
  void Watch();
  std::string Write(int gateway);

  World& world_;
  Agents& agents_;
  Door& door_;
  std::string program_, folder_;
  Random seeds_;
  double scale_ = 1;
  uint64_t hups_ = 0;
  std::vector<Member> members_;
  std::function<void(std::vector<int>)> on_ready_;
  std::function<void()> on_ended_;
  bool ending_ = false;
};

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_PLAY_REAL_FLEET_H_
