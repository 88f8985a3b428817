/// \file Beast response parser that passes body bytes to a callback as they arrive.
#pragma once

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <functional>
#include <string_view>

namespace gorsetrail::http {

/// Beast body type that passes the bytes on without storing them.
/// Beast's Body requirements prescribe the names `value_type` and `reader`.
struct CallbackBody {
  struct value_type {                                  // NOLINT(readability-identifier-naming)
    std::function<void()> onHeadRead;                  ///< Called before any body bytes.
    std::function<void(std::string_view)> onBodyRead;  ///< Called for each part of the body.
  };

  class reader {  // NOLINT(readability-identifier-naming)
   public:
    template <bool isRequest, class Fields>
    reader(boost::beast::http::header<isRequest, Fields>& /*head*/, value_type& callbacks)
        : callbacks_(callbacks) {}

    void init(const boost::optional<std::uint64_t>& /*length*/, boost::beast::error_code& error) {
      callbacks_.onHeadRead();
      error = {};
    }

    template <class ConstBufferSequence>
    std::size_t put(const ConstBufferSequence& buffers, boost::beast::error_code& error) {
      std::size_t taken = 0;
      for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
        callbacks_.onBodyRead({static_cast<const char*>(buffer.data()), buffer.size()});
        taken += buffer.size();
      }
      error = {};
      return taken;
    }

    void finish(boost::beast::error_code& error) { error = {}; }

   private:
    value_type& callbacks_;
  };
};

using ResponseParser = boost::beast::http::response_parser<CallbackBody>;

}  // namespace gorsetrail::http
