// As LATER words it: HTTP/1.1, 2xx is a yes.
#include "play/real/admin_client.h"

namespace lemonchute::lab {

void AdminClient::Call(int gateway, int process, const std::string& method, const std::string& path,
                       Done done) {
  constexpr Micros kGiveUp = 5 * kSecond;  // five times the time in which an answer is due
  auto connection = std::make_shared<HttpConnection>(world_.io);
  auto open = std::make_shared<bool>(true);
  Micros asked = world_.Now();
  connection->Ask(
      world_.slice.Ops(gateway, process),
      method + " " + path + " HTTP/1.1\r\nHost: ops\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
      [this, asked, open, done = std::move(done)](const HttpConnection::Answer& answer) {
        *open = false;
        done(answer, world_.Now() - asked);
      });
  world_.schedule.After(kGiveUp, [connection, open] {
    if (*open) connection->Close();
  });
}

}  // namespace lemonchute::lab
