// Owns the calls to gateways' operators' doors: one call a connection, and how late answers came.
#ifndef LEMONCHUTE_LAB_PLAY_REAL_ADMIN_CLIENT_H_
#define LEMONCHUTE_LAB_PLAY_REAL_ADMIN_CLIENT_H_

#include <functional>
#include <string>

#include "play/real/http.h"
#include "play/real/world.h"

namespace lemonchute::lab {

class AdminClient {
 public:
  using Done = std::function<void(const HttpConnection::Answer& answer, Micros took)>;
  explicit AdminClient(World& world) : world_(world) {}
  // `process`: which of a gateway's two addresses. An answer that does not come is given up after 5 s.
  void Call(int gateway, int process, const std::string& method, const std::string& path, Done done);

 private:
  World& world_;
};

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_PLAY_REAL_ADMIN_CLIENT_H_
