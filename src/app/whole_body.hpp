/// Complete requests and answers over a streamed exchange.
#ifndef APRICOTLB_APP_WHOLE_BODY_HPP
#define APRICOTLB_APP_WHOLE_BODY_HPP

#include "app/problem.hpp"
#include "core/entry/http.hpp"
#include "ports/http.hpp"

#include <apricotlb/config.hpp>

#include <functional>
#include <memory>
#include <utility>

namespace apricotlb
{

/// Sends a complete answer over an exchange.
template <exchange_port Exchange>
auto send_answer(Exchange& to, http_answer const& it) -> void
{
    to.start({it.status, it.headers,
              byte_count{static_cast<std::int64_t>(it.body.size())}});
    to.write(it.body);
    to.end();
}

/// Collects a request's body up to max_api_body_bytes, then calls the handler
/// once. The handler may answer later; an answer after the caller has
/// disconnected is discarded.
template <class ExchangePtr>
auto collect_body(
    ExchangePtr from,
    std::function<void(http_request, std::function<void(http_answer)>)> handler)
    -> void
{
    auto const& head = from->head();
    auto request = std::make_shared<http_request>();
    *request = {head.method, head.path, head.query, head.headers, {}};
    auto const reply = [from](http_answer const& answer)
    { send_answer(*from, answer); };
    from->listen({.body =
                      [request, reply](std::string_view bytes)
                  {
                      if (request->body.size() + bytes.size() >
                          config::max_api_body_bytes)
                      {
                          request->body.clear();
                          reply(answer_for(error{
                              error_kind::body_too_large,
                              "the request body exceeds the limit of 4 MiB"}));
                          return;
                      }
                      request->body.append(bytes);
                  },
                  .body_end = [request, reply, handler = std::move(handler)]
                  { handler(std::move(*request), reply); },
                  .writable = {},
                  .closed = {}});
}

} // namespace apricotlb

#endif
