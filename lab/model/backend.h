// Owns one backend: cores shared evenly by the requests in its slots, a waiting room, efficiency lost when it
// is crowded, capacity that grows from cold, and tipping over when it is pushed. Time comes in, ends go out.
#ifndef LEMONCHUTE_LAB_MODEL_BACKEND_H_
#define LEMONCHUTE_LAB_MODEL_BACKEND_H_

#include <deque>
#include <optional>
#include <set>
#include <unordered_map>

#include "model/run_spec.h"

namespace lemonchute::lab {

class Backend {
 public:
  struct Job {
    uint64_t id = 0;
    double work_s = 0;
    Micros deadline = kNever;  // waiting work is dropped then, where this day's backends do so
  };
  struct Completion {
    uint64_t id = 0;
    bool overdue = false;  // dropped from the waiting room; else its work is done
    double work_s = 0;     // done for it
  };
  enum class Admission { kAccepted, kFull, kDown };

  Backend(const RunSpec& spec, const BackendSpec& backend) : spec_(&spec), backend_(backend) {}

  // Ends come from Advance, in order of time; call it before every other call at that time.
  void Advance(Micros now, std::vector<Completion>* ends);
  Micros NextEventAt() const;  // when Advance has something to say next

  void Start(Micros now, bool cold);
  void Stop();  // all that it holds is gone
  Admission Offer(Micros now, const Job& job);
  // Stops a job, as this day's backends do: waiting work always, running work on some days. Work done so far.
  double Cancel(Micros now, uint64_t id);
  // A connection's handshake: work for nobody, which takes no slot.
  void Handshake(Micros now);
  // Work that arrives at a cold backend pushes it, what it turns away too. Where it tips over now: the push.
  struct Tip {
    double received_s = 0, limit_s = 0;  // work in the span, and what it bears in it
    double informed_share = 0;           // of the push, from gateways that were told of its start
    double age_s = 0;                    // since its start
  };
  std::optional<Tip> RecordColdLoad(Micros now, double work_s, bool informed);
  void SetSlowdown(Micros now, double times);
  // It has left the list: what is new gets a no from now on, until it starts again.
  void MarkLeaving() { leaving_ = true; }

  bool up() const { return up_; }
  bool AcceptsNew() const { return up_ && !leaving_; }
  bool IsCold(Micros now) const { return up_ && now < warm_at_; }
  int request_count() const { return static_cast<int>(running_.size() + waiting_.size()); }
  // Work a second at `now`, with the requests that it holds.
  double Capacity(Micros now) const;
  // Seconds until `work_s` brought now would be done, if nothing else came.
  double ExpectedSeconds(Micros now, double work_s) const;
  bool HasFreeSlot() const { return up_ && static_cast<int>(running_.size()) < backend_.slots; }

 private:
  double Warmth(Micros now) const;
  double RatePerJob(Micros now) const;
  void FillSlots();

  const RunSpec* spec_;
  BackendSpec backend_;
  bool up_ = false, leaving_ = false;
  Micros updated_at_ = 0, started_ = 0, warm_at_ = 0;
  double slowdown_ = 1;
  double progress_ = 0;                            // work done for each running job since the start of time
  std::set<std::pair<double, uint64_t>> running_;  // the progress at which a job is done, and its id
  std::unordered_map<uint64_t, std::pair<double, double>> jobs_;  // running: where it ends, and its work
  std::deque<Job> waiting_;
  double waiting_work_ = 0;
  uint64_t handshake_count_ = 0;
  struct ReceivedWork {
    Micros at;
    double work;
    bool informed;
  };
  std::deque<ReceivedWork> recent_work_;
  double recent_work_s_ = 0, recent_informed_work_s_ = 0;
};

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_MODEL_BACKEND_H_
