/// \file Samples how many places of the replicas are taken.
#pragma once

#include <algorithm>
#include <atomic>
#include <thread>

#include "deployment.h"

namespace review {

class FillWatch {
 public:
  explicit FillWatch(const SmallDeployment& world)
      : thread_([this, &world] {
          while (!stopped_) {
            int running = 0;
            for (const auto& replica : world.replicas) {
              running += replica->running();
            }
            most_ = std::max<int>(most_, running);
            std::this_thread::sleep_for(Milliseconds(2));
          }
        }) {}
  ~FillWatch() {
    stopped_ = true;
    thread_.join();
  }
  FillWatch(const FillWatch&) = delete;
  FillWatch& operator=(const FillWatch&) = delete;

  /// \return the most places that were taken at once.
  int stop() {
    stopped_ = true;
    return most_;
  }

 private:
  std::atomic<int> most_{0};
  std::atomic<bool> stopped_{false};
  std::thread thread_;
};

}  // namespace review
