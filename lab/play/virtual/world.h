// Owns what the parts of a virtual day share: its time, the model and the judge.
#ifndef LEMONCHUTE_LAB_PLAY_VIRTUAL_WORLD_H_
#define LEMONCHUTE_LAB_PLAY_VIRTUAL_WORLD_H_

#include "model/counter.h"
#include "model/discovery.h"
#include "model/front.h"
#include "model/judge.h"
#include "model/network.h"
#include "model/paths.h"
#include "play/virtual/agenda.h"

namespace lemonchute::lab {

struct VirtualWorld {
  explicit VirtualWorld(const Day& d)
      : day(d),
        agenda(d.gateways),
        network(d),
        paths(d),
        discovery(d),
        counter(d),
        front(d),
        judge(d, discovery) {}
  Micros Now() const { return agenda.now(); }

  const Day& day;
  Agenda agenda;
  Network network;
  Paths paths;
  Discovery discovery;
  Counter counter;
  Front front;
  Judge judge;
};

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_PLAY_VIRTUAL_WORLD_H_
