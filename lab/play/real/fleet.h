// Owns the gateway processes of a real day: configuration, start, readiness as the front sees it, signals,
// upgrades, and what became of each process.
#ifndef LEMONCHUTE_LAB_PLAY_REAL_FLEET_H_
#define LEMONCHUTE_LAB_PLAY_REAL_FLEET_H_

#include <array>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <memory>
#include <vector>

#include "checker/history.h"
#include "play/real/admin_client.h"
#include "play/real/discovery_agents.h"
#include "play/real/process.h"
#include "play/real/state_folder.h"
#include "play/real/stub_counter.h"

namespace lemonchute::lab {

class Fleet {
 public:
  Fleet(World& world, DiscoveryAgents& agents, AdminClient& admin_client, History& history,
        std::string program, std::string faults_library, std::string folder);
  ~Fleet();

  // Starts all; `ready` is called once each says yes, or after 30 s, with the numbers of those that did not.
  void Start(std::function<void(std::vector<int> late)> ready);
  void Kill(int gateway);
  void Terminate(int gateway);
  void Revive(int gateway);
  // Stops may overlap: it goes on with the last one's end.
  void Stop(int gateway, bool stop);
  // It runs that share of each slice of time; nought: all of it again.
  void Squeeze(int gateway, double share);
  // It starts anew, and says that it is `number`.
  void Claim(int gateway, int number);
  void Befall(int gateway, StateFolderFault what);
  void Upgrade(int gateway);
  void Retune(double scale);  // a new configuration and SIGHUP, to all

  // It owes an answer to what was sent then: it runs, and was not stopped since.
  bool Answers(int gateway, Micros sent) const;
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
  // Puts what the gateways' logs say into the history, and names logs that are too long to be read.
  void ReadSayings();

 private:
  // A log that comes through a pipe, for a process that may write no file.
  struct LogPipe {
    explicit LogPipe(asio::io_context& io) : out(io) {}
    boost::asio::posix::stream_descriptor out;
    std::array<char, 4096> part;
    std::string path;
  };
  struct Member {
    std::vector<std::unique_ptr<Process>> processes;  // the newest last
    bool expected_end = false;                        // of the newest
    bool ready = false, whole_day = true;
    int launches = 0, ops = 0, stops = 0;
    Micros went_on = 0;     // after its latest stop, or ready after its latest start; kNever: not yet
    int claims = -1;        // the number that it says is its own; -1: the right one
    bool held_up = false;   // the lab has stopped it or slowed it down
    uint64_t squeezes = 0;  // the newest squeeze counts
    std::unique_ptr<StateFolder> state;
    size_t told_ended = 0;
    int listening = -1;
    std::shared_ptr<HttpConnection> front;
    bool asking = false;
    std::unique_ptr<StubCounter> counter;
    std::string temporary;
  };
  void LookReady(Micros until);  // again and again until all are, or until then
  void LookEnded(Micros until);
  void AskUpgraded(int gateway, int ops, Process* old, Micros until);
  void Launch(int gateway, bool beside);
  void AskReady(int gateway);
  void Watch();
  void Ends(int gateway, const Process& process);
  void SignalAll(Member& member, int signal);
  void Slice(int gateway, double share, uint64_t squeeze);
  void Drain(std::shared_ptr<LogPipe> pipe);
  std::string Write(int gateway);

  World& world_;
  DiscoveryAgents& discovery_agents_;
  AdminClient& admin_client_;
  History& history_;
  std::string program_, faults_library_, folder_;
  Random seeds_, spoils_;
  double scale_ = 1;
  uint64_t hups_ = 0;
  std::vector<Member> members_;
  std::function<void(std::vector<int>)> on_ready_;
  std::function<void()> on_ended_;
  bool ending_ = false;
};

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_PLAY_REAL_FLEET_H_
