// Owns what operators do on a real day: maintenance by hand, drains, scrapes, and the comparison of every
// gateway's figures and descriptors with what its peers saw.
#ifndef LEMONCHUTE_LAB_PLAY_REAL_OPERATORS_H_
#define LEMONCHUTE_LAB_PLAY_REAL_OPERATORS_H_

#include "play/real/admin_client.h"
#include "play/real/fleet.h"

namespace lemonchute::lab {

class Operators {
 public:
  // `connections`: how many the lab's clients hold to a gateway, and all backends together from all gateways.
  Operators(World& world, Fleet& fleet, AdminClient& admin_client,
            std::function<size_t(int gateway)> connections);

  void Offline(int backend, bool offline);
  void Drain(int gateway, bool drain);
  void Scrape(double times_a_second);  // 0 ends it
  // At the day's end, of the gateways of which one process ran all day.
  void Compare(std::function<void()> done);
  nlohmann::json Report() const;

 private:
  void Call(int gateway, const std::string& method, const std::string& path, AdminClient::Done done = {});
  void ScrapeOnce(uint64_t round);
  void Check(int gateway, const std::string& figures);
  void CheckDescriptors(int gateway);

  World& world_;
  Fleet& fleet_;
  AdminClient& admin_client_;
  std::function<size_t(int)> connections_;
  double scrape_ = 0;
  uint64_t scrape_round_ = 0;
  std::vector<uint64_t> drains_;  // by gateway: how many drains and ends of one there were
  uint64_t calls_ = 0, late_ = 0, wrong_ = 0, checked_ = 0, off_ = 0;
  Micros worst_ = 0;
  bool over_ = false;
};

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_PLAY_REAL_OPERATORS_H_
