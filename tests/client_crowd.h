// Test support: many clients at once, driven by one thread, each with a text to write.
#ifndef LEMONCHUTE_TESTS_CLIENT_CROWD_H_
#define LEMONCHUTE_TESTS_CLIENT_CROWD_H_

#include <fcntl.h>
#include <poll.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "gateway_rig.h"

namespace rig {

// Connects `count` clients, which write their texts as far as the gateway takes them.
class ClientCrowd {
 public:
  struct Client {
    int fd = -1;
    std::string text;      // to be written
    size_t written = 0;    // bytes of it
    std::string received;  // its first bytes
    size_t received_bytes = 0;
    bool ended = false;  // the gateway has closed the connection
  };

  ClientCrowd(int port, size_t count, const std::function<std::string(size_t)>& text) {
    for (size_t i = 0; i < count; ++i) {
      sockaddr_in address;
      int fd = MakeLoopbackSocket(&address, port);
      EXPECT_EQ(connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
      fcntl(fd, F_SETFL, O_NONBLOCK);
      Client& client = clients_.emplace_back();
      client.fd = fd;
      client.text = text(i);
    }
  }
  ~ClientCrowd() {
    for (const Client& client : clients_) close(client.fd);
  }

  // Writes, and reads if `read`, for the given time or until `done` holds for all.
  void Run(
      std::chrono::milliseconds time, bool read,
      const std::function<bool(const Client&)>& done = [](const Client&) { return false; }) {
    auto end = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < end && !std::all_of(clients_.begin(), clients_.end(), done)) {
      std::vector<pollfd> events;
      for (const Client& client : clients_) events.push_back({client.fd, EventsOf(client, read), 0});
      poll(events.data(), events.size(), /*timeout=*/20);
      for (size_t i = 0; i < clients_.size(); ++i) {
        if ((events[i].revents & POLLOUT) != 0) Write(&clients_[i]);
        if (read && (events[i].revents & (POLLIN | POLLHUP | POLLERR)) != 0) Read(&clients_[i]);
      }
    }
  }
  const std::vector<Client>& clients() const { return clients_; }
  // Clients whose response has begun with this status.
  size_t CountStatus(int status) const {
    std::string line = "HTTP/1.1 " + std::to_string(status) + " ";
    return static_cast<size_t>(std::count_if(clients_.begin(), clients_.end(), [&](const Client& client) {
      return client.received.compare(0, line.size(), line) == 0;
    }));
  }

 private:
  static constexpr size_t kKeptBytes = 1024;

  static short EventsOf(const Client& client, bool read) {
    int events = 0;
    if (!client.ended && client.written < client.text.size()) events |= POLLOUT;
    if (!client.ended && read) events |= POLLIN;
    return static_cast<short>(events);
  }
  static void Write(Client* client) {
    ssize_t n = send(client->fd, client->text.data() + client->written, client->text.size() - client->written,
                     MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n > 0) client->written += static_cast<size_t>(n);
    if (n < 0 && errno != EAGAIN) client->written = client->text.size();
  }
  static void Read(Client* client) {
    char part[65536];
    ssize_t n = recv(client->fd, part, sizeof(part), MSG_DONTWAIT);
    if (n == 0 || (n < 0 && errno != EAGAIN)) client->ended = true;
    if (n <= 0) return;
    client->received_bytes += static_cast<size_t>(n);
    size_t room = kKeptBytes - std::min(kKeptBytes, client->received.size());
    client->received.append(part, std::min(room, static_cast<size_t>(n)));
  }

  std::vector<Client> clients_;
};

}  // namespace rig

#endif  // LEMONCHUTE_TESTS_CLIENT_CROWD_H_
