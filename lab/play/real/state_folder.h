// Owns the folder of a gateway that outlives its processes, and what befalls it between a death and a start.
#ifndef LEMONCHUTE_LAB_PLAY_REAL_STATE_FOLDER_H_
#define LEMONCHUTE_LAB_PLAY_REAL_STATE_FOLDER_H_

#include <string>

#include "model/run_spec.h"

namespace lemonchute::lab {

class StateFolder {
 public:
  // `path` is made where it is not there yet. Throws std::filesystem::filesystem_error where it can't be.
  explicit StateFolder(std::string path);

  const std::string& path() const { return path_; }
  // A process is about to start: what is there now is what `kOlderCopy` goes back to from the next start on.
  void Starting();
  // Every file in it, at places that `random` draws. `other`: whose folder kOtherGateways takes. What a
  // folder does not hold can't be spoilt. kDiskFull changes nothing here: it binds the next process.
  void Befall(StateFolderFault what, const StateFolder& other, Random* random);
  // The next process finds no room for a single byte.
  bool no_room() const { return no_room_; }
  void Started() { no_room_ = false; }

 private:
  std::string path_, before_;
  bool no_room_ = false;
};

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_PLAY_REAL_STATE_FOLDER_H_
