// Owns what the parts of a virtual day share: its time, the model and the judge.
#ifndef LEMONCHUTE_LAB_PLAY_VIRTUAL_WORLD_H_
#define LEMONCHUTE_LAB_PLAY_VIRTUAL_WORLD_H_

#include "model/client_router.h"
#include "model/counter.h"
#include "model/discovery.h"
#include "model/network.h"
#include "model/paths.h"
#include "model/run_checker.h"
#include "play/virtual/agenda.h"

namespace lemonchute::lab {

struct VirtualWorld {
  explicit VirtualWorld(const RunSpec& d)
      : day(d),
        agenda(d.gateways),
        network(d),
        paths(d),
        discovery(d),
        counter(d),
        client_router(d),
        judge(d, discovery) {}
  Micros Now() const { return agenda.now(); }

  const RunSpec& day;
  Agenda agenda;
  Network network;
  Paths paths;
  Discovery discovery;
  Counter counter;
  ClientRouter client_router;
  RunChecker judge;
};

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_PLAY_VIRTUAL_WORLD_H_
