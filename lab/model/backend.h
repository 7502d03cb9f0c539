// Model of one backend: cores shared evenly by the requests in its slots, a queue, efficiency that falls
// under crowding, capacity that grows while the backend warms up, and tipping over when a cold backend
// receives too much work. The caller supplies the time and collects the completions.
#ifndef LEMONCHUTE_LAB_MODEL_BACKEND_H_
#define LEMONCHUTE_LAB_MODEL_BACKEND_H_

#include <deque>
#include <optional>
#include <set>
#include <unordered_map>

#include "model/run_spec.h"

namespace lemonchute::lab {

/// A backend in virtual or real time; not thread-safe, like the rest of the model.
class Backend {
 public:
  struct Job {
    uint64_t id = 0;
    double work_s = 0;
    Micros deadline = kNever;  // queued work is dropped then, if this run's backends do so
  };
  struct Completion {
    uint64_t id = 0;
    bool overdue = false;  // dropped from the queue; otherwise the work is done
    double work_s = 0;     // done for the job
  };
  enum class Admission { kAccepted, kFull, kDown };

  Backend(const RunSpec& spec, const BackendSpec& backend) : spec_(&spec), backend_(backend) {}

  /// Advances to `now` and appends completions in order of time. Call it before any other call at that time.
  void Advance(Micros now, std::vector<Completion>* completions);
  Micros NextEventAt() const;  // time of the next completion or drop

  void Start(Micros now, bool cold);
  void Stop();  // drops everything it holds
  Admission Offer(Micros now, const Job& job);
  /// Cancels a job: queued work always, running work only if this run's backends do so. Returns the work done
  /// so far.
  double Cancel(Micros now, uint64_t id);
  /// Adds the work of a connection's handshake, which belongs to no job and takes no slot.
  void Handshake(Micros now);
  /// Describes how a cold backend tipped over. Work that it turns away counts as received too.
  struct Tip {
    double received_s = 0, limit_s = 0;  // work in the window, and the limit for it
    double informed_share = 0;  // of that work, from gateways that had been told of the backend's start
    double age_s = 0;           // since the backend's start
  };
  std::optional<Tip> RecordColdLoad(Micros now, double work_s, bool informed);
  void SetSlowdown(Micros now, double times);
  /// The backend has left the list: it refuses new work until it starts again.
  void MarkLeaving() { leaving_ = true; }

  bool up() const { return up_; }
  bool AcceptsNew() const { return up_ && !leaving_; }
  bool IsCold(Micros now) const { return up_ && now < warm_at_; }
  int request_count() const { return static_cast<int>(running_.size() + waiting_.size()); }
  /// Work per second at `now`, with the requests it holds.
  double Capacity(Micros now) const;
  /// Seconds until `work_s` that arrived now would be done if nothing else arrived.
  double ExpectedSeconds(Micros now, double work_s) const;
  /// Counts running handshakes like jobs, unlike Offer, for which they take no slot.
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
  double progress_ = 0;  // work done for each running job since the start of the run
  std::set<std::pair<double, uint64_t>> running_;  // the progress at which a job is done, and its id
  // Of running jobs: the progress at which the job is done, and its work.
  std::unordered_map<uint64_t, std::pair<double, double>> jobs_;
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
