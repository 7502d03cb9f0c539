// Owns a day in virtual time: the decision module of every gateway on the model's clock, with sockets,
// backends, counter and clients as events. One thread; the same day gives the same report, byte for byte.
#ifndef LEMONCHUTE_LAB_PLAY_VIRTUAL_VIRTUAL_DAY_H_
#define LEMONCHUTE_LAB_PLAY_VIRTUAL_VIRTUAL_DAY_H_

#include <atomic>
#include <nlohmann/json.hpp>

#include "checker/history.h"
#include "model/run_spec.h"

namespace lemonchute::lab {

// Plays `day` to its end and gives the judge's report. `progress`, where given, goes from 0 to 1000;
// `history` takes the fleet's history, in order, which is then judged too.
nlohmann::json PlayVirtual(const RunSpec& day, std::atomic<int>* progress = nullptr,
                           History* history = nullptr);
// What happens on a day that only real processes can show; their names are in the report as `not_played`.
bool OnlyReal(SiteEventKind what);

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_PLAY_VIRTUAL_VIRTUAL_DAY_H_
