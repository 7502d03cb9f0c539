// Owns the gateway processes of a real day: configuration, start, readiness as the front sees it, signals,
// upgrades, the operators' calls, and what became of each process.
#ifndef LEMONCHUTE_LAB_PLAY_REAL_FLEET_H_
#define LEMONCHUTE_LAB_PLAY_REAL_FLEET_H_

#include <memory>
#include <vector>

#include "play/real/agents.h"
#include "play/real/counter_stand.h"
#include "play/real/process.h"

namespace lemonchute::lab {

class Fleet {
 public:
  Fleet(World& world, Agents& agents, std::string program, std::string folder);
  ~Fleet();

  // Starts all; `ready` is called once each says yes, or after 30 s, with the numbers of those that did not.
  void Start(std::function<void(std::vector<int> late)> ready);
  void Kill(int gateway);
  void Terminate(int gateway);
  void Revive(int gateway);
  void Stop(int gateway, bool stop);
  void Upgrade(int gateway);
  void Retune(double scale);  // a new configuration and SIGHUP, to all
  void Offline(int backend, bool offline);
  void Drain(int gateway, bool drain);
  void Scrape(double times_a_second);  // 0 ends it

  bool Answers(int gateway) const;
  // Reads every gateway's figures and compares them with what peers saw, where one process ran all day.
  void Compare(std::function<void()> done);
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
  struct Door {
    uint64_t calls = 0, late = 0, wrong = 0;
    Micros worst = 0;
  };
  void Launch(int gateway, bool beside);
  void AskReady(int gateway);
  void Watch();
  std::string Write(int gateway);
  using OnAnswer = std::function<void(const HttpConnection::Answer&)>;
  void Call(int gateway, int ops, const std::string& method, const std::string& path, bool wants_yes,
            OnAnswer done = {});
  void ScrapeOnce(uint64_t round);
  void Check(int gateway, const std::string& figures);

  World& world_;
  Agents& agents_;
  std::string program_, folder_;
  Random seeds_;
  double scale_ = 1, scrape_ = 0;
  uint64_t scrape_round_ = 0;
  std::vector<Member> members_;
  Door door_;
  uint64_t figures_checked_ = 0, figures_off_ = 0;
  bool ending_ = false;
};

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_PLAY_REAL_FLEET_H_
