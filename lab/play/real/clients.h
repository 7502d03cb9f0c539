// Owns the clients of a real day: sends every try at its drawn moment, reads its answer, and tries again.
#ifndef LEMONCHUTE_LAB_PLAY_REAL_CLIENTS_H_
#define LEMONCHUTE_LAB_PLAY_REAL_CLIENTS_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "play/real/stub_backends.h"

namespace lemonchute::lab {

class Clients {
 public:
  // `answers`: whether that gateway owes an answer to what was sent then, as one does that runs and was not
  // stopped in between.
  Clients(World& world, StubBackends& backends, bool null_run,
          std::function<bool(int gateway, Micros sent)> answers);
  void Begin();                           // the day's arrivals, one after another
  size_t Connections(int gateway) const;  // that clients hold to it
  // Exchanges that were open at the end of their time and the grace and that the lab had written, or read,
  // late by any amount; with those of gateways that owed no answer then.
  uint64_t delayed_by_lab() const { return delayed_by_lab_; }

 private:
  struct Open {
    std::shared_ptr<HttpConnection> connection;
    bool again = false;           // sent once more, since a connection's end had crossed it
    bool delayed_by_lab = false;  // it is counted as such
    Micros write_due = 0;         // when it was to be written
  };
  void Next(uint32_t arrival);
  void Send(uint32_t arrival, int number, Micros at);
  // The gateway that the try goes to; negative: none is to be had.
  int Pick(uint32_t arrival, int number, Micros at) const;
  void Ask(uint32_t id, bool fresh, Micros write_due);
  void Done(uint32_t id, const HttpConnection::Answer& answer);
  void Judge(uint32_t id, const HttpConnection::Answer& answer, Micros now);
  void Again(uint32_t id, double retry_after_s);
  // The last moment of its final answer. A request's time counts from its last byte (PROTOCOL, Figures), so
  // it does not run while the lab is late in writing it. None: it is not written yet.
  std::optional<Micros> LastAnswerAt(uint32_t id, const Open& open) const;
  // Called once the request's time and the grace are over, by the plan.
  void CheckAnswered(uint32_t id);
  // By when the kernel had the answer, or the connection's end in its place, however late the lab reads it.
  bool CameTooLate(uint32_t id, const Open& open, const HttpConnection::Exchange& exchange) const;
  // The steps of an exchange, by the day's clock.
  std::string Steps(uint32_t id, const Open& open, const HttpConnection::Exchange& exchange) const;
  std::string Text(uint32_t id) const;

  World& world_;
  StubBackends& backends_;
  const bool null_run_;
  std::function<bool(int, Micros)> answers_;
  std::vector<std::vector<std::shared_ptr<HttpConnection>>> idle_;  // by gateway; in a null run by backend
  std::unordered_map<uint32_t, Open> open_;
  std::vector<int> null_backend_;  // by try
  uint64_t delayed_by_lab_ = 0;
};

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_PLAY_REAL_CLIENTS_H_
