/// \file Test group of crowds at one node process of a small machine.
#pragma once

#include <unistd.h>

#include <filesystem>
#include <memory>
#include <string>

#include "lab/hostile/hostile_world.h"
// CppUTest redefines `new`: it comes after the standard headers.
#include <CppUTest/TestHarness.h>

namespace gorsetrail::lab::testing {

/// Memory and descriptors of the node's machine, as its settings tell it.
inline constexpr unsigned kMemoryMb = 64;
inline constexpr unsigned kDescriptors = 600;
inline constexpr std::size_t kMegabyte = std::size_t{1024} * 1024;
inline constexpr std::size_t kLargestBody = 4 * kMegabyte;

/// Not a test group itself, so that files can derive theirs.
class HostileGroup : public Utest {
 public:
  std::unique_ptr<HostileWorld> world;
  std::unique_ptr<HostileCrowd> crowd;
  std::string directory;
  NodeProcessSettings settings;

  void setup() override {
    const auto process = static_cast<unsigned>(::getpid());
    constexpr unsigned kByte = 256;
    settings.ip = "127." + std::to_string(1 + (process / kByte) % (kByte - 2)) + "." +
                  std::to_string(process % kByte) + ".9";
    settings.memoryMb = kMemoryMb;
    settings.maximumDescriptors = kDescriptors;
    directory =
        (std::filesystem::temp_directory_path() / ("gorsetrail-hostile-" + std::to_string(process)))
            .string();
    world = std::make_unique<HostileWorld>(settings, directory);
    crowd = std::make_unique<HostileCrowd>(world->context(), settings.clientAddress());
  }
  void teardown() override {
    crowd.reset();
    world.reset();
    std::filesystem::remove_all(directory);
  }

  void play(std::size_t connections, const HostileScript& script) {
    crowd->join(connections, script);
    world->playUntilQuiet(*crowd);
  }

  /// The node lives, stays within its machine, and serves while the crowd holds its connections
  /// and after it has left.
  void checkNodeIsSound() {
    CHECK_TRUE(crowd->counts().connected > 0);
    CHECK_TRUE(world->node().isRunning());
    LONGS_EQUAL(200, world->askOrdinarily().status);
    crowd.reset();
    LONGS_EQUAL(200, world->askOrdinarily().status);
    CHECK_TRUE(world->node().isRunning());
    checkMemory();
    CHECK_COMPARE(world->peakDescriptors(), <=, kDescriptors);
  }
  void checkMemory() const {
    UT_PRINT(StringFromFormat("resident %d MB, unread %d KB, %d descriptors",
                              static_cast<int>(peakMemoryOf(world->node().id()) / kMegabyte),
                              static_cast<int>(world->peakUnreadBytes() / 1024),
                              static_cast<int>(world->peakDescriptors())));
    CHECK_COMPARE(world->peakBytes() / kMegabyte, <, std::size_t{kMemoryMb});
  }
};

}  // namespace gorsetrail::lab::testing
