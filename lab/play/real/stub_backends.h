// Owns the backends of a real day: each the model's core behind an HTTP server of its own address.
#ifndef LEMONCHUTE_LAB_PLAY_REAL_STUB_BACKENDS_H_
#define LEMONCHUTE_LAB_PLAY_REAL_STUB_BACKENDS_H_

#include <map>
#include <memory>
#include <set>
#include <vector>

#include "model/backend.h"
#include "play/real/http.h"
#include "play/real/world.h"

namespace lemonchute::lab {

class StubBackends {
 public:
  // `visitors`: requests that no client of the lab sent are served too, and nobody judges them.
  StubBackends(World& world, bool visitors);
  // Called when one has started or ended.
  void OnChange(std::function<void(int backend, bool up)> changed) { changed_ = std::move(changed); }

  void Start(int backend);
  void End(int backend);
  void Leave(int backend) { cores_[static_cast<size_t>(backend)].MarkLeaving(); }
  void Fail(int backend, double share) { fails_[static_cast<size_t>(backend)] = share; }
  void Slow(int backend, double times);
  void Silent(int backend, bool silent);
  void Resets(double share) { resets_ = share; }
  // A refused try at `gateway` could have had a slot at a backend that it knows of.
  bool Room(int gateway) const;
  size_t Connections() const;  // to all backends, from all gateways
  // The backend at which a request expects to be done first.
  int Best(double work_s) const;
  // How long the first good answer to that try took at its backend, there and back not counted; 0: none.
  Micros TimeOf(uint32_t id) const { return id < times_.size() ? times_[id] : 0; }

 private:
  struct Attempt {
    uint32_t id = 0;
    int backend = 0;
    HttpServer::PeerPtr peer;
    Micros since = 0;
    bool out = true;
  };
  void Ask(int backend, const HttpServer::PeerPtr& peer, const HttpRequest& request);
  void Reach(uint64_t attempt);
  void Gone(int backend, uint64_t peer);
  void Advance(int backend);
  void Arm(int backend);
  void Reply(uint64_t attempt, int status, const std::string& headers, const std::string& body, bool served,
             double work_s);
  bool Heard(int gateway, int backend) const;
  bool Lists(int gateway, size_t backend) const;
  Micros Way(const Attempt& attempt);

  World& world_;
  const bool visitors_;
  std::function<void(int, bool)> changed_ = [](int, bool) {};
  Random chance_;
  std::vector<Backend> cores_;
  std::vector<std::unique_ptr<HttpServer>> servers_;
  std::vector<Micros> armed_;
  std::vector<double> fails_;
  std::set<int> silent_;
  double resets_ = 0;
  std::map<uint64_t, Attempt> attempts_;
  std::vector<std::map<uint64_t, uint64_t>> by_peer_;  // by backend: connection to attempt
  std::vector<Micros> times_;
  uint64_t last_ = 0;
};

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_PLAY_REAL_STUB_BACKENDS_H_
