/// \file A model engine of the simulated site: the engine model behind streams that can be
/// broken, resumed, cancelled and hung.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "lab/enginemodel/engine_model.h"
#include "lab/sim/request_tag.h"
#include "lab/sim/sim_backend.h"

namespace gorsetrail::sim {

class SimEngine final : public SimBackend {
 public:
  SimEngine(SimContext& context, BackendName name);

  void onRequest(const ConnectionPtr& connection, const engine::StartDispatch& command) override;
  void onCancel(const DispatchId& id) override;
  void inspect() override;
  engine::HoldResult onPlaceHold(const engine::PlaceHold& command) override;
  engine::HoldResult onReleaseHold(const engine::ReleaseHold& command) override;
  engine::HoldInventory onReadHolds() override;
  [[nodiscard]] node::BackendReport report() const override;
  void setHanging(bool hanging) override;

 private:
  struct Stream {
    RequestTag tag;
    std::string answer;
    std::uint32_t tokens = 0;
    std::uint32_t emitted = 0;  ///< Tokens made.
    std::uint32_t sent = 0;     ///< Tokens given to the connection.
    std::uint32_t breakAt = 0;  ///< The connection breaks before this token; 0 for never.
    bool finished = false;
    enginemodel::Usage usage;
    Instant since;
    Duration timeLimit{};
    std::optional<enginemodel::EngineRequest> waiting;  ///< Not given to the model: hung.
    ConnectionPtr connection;
  };

  void resume(const ConnectionPtr& connection, const engine::StartDispatch& command);
  Stream makeStream(const ConnectionPtr& connection, const engine::StartDispatch& command) const;
  void submit(const std::string& id, Stream& stream);
  void planAdvance();
  void advance();
  void onToken(const enginemodel::TokenEmitted& token);
  void onFinished(const enginemodel::RequestFinished& finished);
  void sendProgress(Stream& stream);

  enginemodel::EngineModel model_;
  std::map<std::string, Stream> streams_;
  std::optional<Instant> plannedAt_;
};

}  // namespace gorsetrail::sim
