// Owns the gateways of a virtual day: the decision module of each, what it holds, its list and its counter
// calls. It does for the module what the network code does in a process, and decides nothing.
#ifndef LEMONCHUTE_LAB_PLAY_VIRTUAL_GATEWAYS_H_
#define LEMONCHUTE_LAB_PLAY_VIRTUAL_GATEWAYS_H_

#include <memory>
#include <unordered_map>
#include <vector>

#include "play/virtual/backends.h"

namespace lemonchute::lab {

class VirtualGateways {
 public:
  // A final answer is given: its client has it a way later. `room`: a refusal's gateway knew of a free slot.
  using Answer = std::function<void(uint32_t id, TryOutcome final, double retry_after_s, bool room)>;
  VirtualGateways(VirtualWorld& world, Answer answer);

  void Start(uint32_t gateway);  // with the list that it last had, and nothing else
  void End(uint32_t gateway);    // killed: its clients see a reset
  bool Up(uint32_t gateway) const { return gateways_[gateway].module != nullptr; }
  // A try has reached it.
  void Take(uint32_t id);
  // Its client has gone, or its answer is long overdue: nothing is owed any more.
  void Abandon(uint32_t id);
  // No final answer has been given.
  bool Owes(uint32_t id) const;

  void TellVersion(uint32_t gateway, int version);
  void Offline(uint32_t backend, bool offline);
  void Retune(double scale);
  VirtualBackends& backends() { return backends_; }

 private:
  struct Held {
    std::vector<uint32_t> attempts;
    int waiting = 0;  // attempts whose outcome has not been told
    bool ended = false;
  };
  struct Call {
    uint32_t gateway = 0, life = 0;
    uint64_t name = 0;
    double amount = 0, keep_ms = 0, total = 0;
    policy::AttemptResult result = policy::AttemptResult::kTimeout;
    bool told = false;
    int pending = 2;  // events that still name it: its arrival or answer, and its time-out
  };
  struct Gateway {
    std::unique_ptr<policy::Balancer> module;
    uint32_t life = 0;
    std::unordered_map<uint32_t, Held> held;
    std::vector<char> listed;
    int version = 0;
  };

  template <typename What>
  void Tell(uint32_t gateway, What event);
  void Act(uint32_t gateway, const policy::Action& action);
  void SendAttempt(uint32_t gateway, const policy::Action& action);
  void Finish(uint32_t gateway, uint32_t id, TryOutcome final, double retry_after_s);
  void Outcome(uint32_t attempt);
  void ForgetIfOver(uint32_t gateway, uint32_t id);
  void FirstList(uint32_t gateway, Micros wait);
  void GiveList(uint32_t gateway, policy::EndpointListKind kind,
                const std::vector<Discovery::Entry>& entries);
  void Count(uint32_t gateway, const policy::Action& action);
  void CallThere(uint32_t call);
  void Total(uint32_t call, bool in_time);
  void Release(uint32_t call);
  policy::Settings SettingsFor(uint32_t gateway) const;

  VirtualWorld& world_;
  Answer answer_;
  VirtualBackends backends_;
  Random seeds_;
  double scale_ = 1;
  std::vector<Gateway> gateways_;
  std::vector<Call> calls_;
  std::vector<uint32_t> free_calls_;
  policy::Actions actions_;
};

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_PLAY_VIRTUAL_GATEWAYS_H_
