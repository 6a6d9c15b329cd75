#include "platform/BudgetedHandler.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace celeryline;
using namespace celeryline::platform;

namespace {

/// Answers a request when the test says so.
class WaitingHandler final : public RequestHandler {
public:
    kj::Promise<ForwardedResponse> handle(const ForwardedRequest&) override
    {
        auto paf = kj::newPromiseAndFulfiller<ForwardedResponse>();
        waiting.push_back(kj::mv(paf.fulfiller));
        return kj::mv(paf.promise);
    }

    std::vector<kj::Own<kj::PromiseFulfiller<ForwardedResponse>>> waiting;
};

ForwardedRequest requestOf(RequestOrigin origin, std::size_t bytes)
{
    ForwardedRequest request;
    request.origin = origin;
    request.body = std::string(bytes, ' ');
    return request;
}

} // namespace

// Guards against a leader that holds what all entry processes together may hold, and against memory that
// stays reserved when a request ends or is given up.
TEST_CASE("A leader refuses requests for which it has no memory", "[platform][limits]")
{
    constexpr std::size_t bytes = 100000;
    auto io = kj::setupAsyncIo();
    WaitingHandler waiting;
    ByteBudget budget(10 * bytes, 2 * bytes);
    Metrics metrics;
    BudgetedHandler handler(waiting, budget, metrics);
    std::vector<kj::Promise<ForwardedResponse>> promises;
    for (int i = 0; i < 3; ++i)
        promises.push_back(handler.handle(requestOf(RequestOrigin::Caller, bytes)));
    CHECK(waiting.waiting.size() == 3);
    auto refused = handler.handle(requestOf(RequestOrigin::Caller, bytes)).wait(io.waitScope);
    CHECK(refused.status == 503);
    CHECK(refused.retryAfter > Millis {});
    CHECK(waiting.waiting.size() == 3); // The refused one doesn't run.
    promises.push_back(handler.handle(requestOf(RequestOrigin::Caller, 1000)));
    promises.push_back(handler.handle(requestOf(RequestOrigin::Operations, bytes)));
    CHECK(waiting.waiting.size() == 5);
    waiting.waiting.front()->fulfill(ForwardedResponse {});
    promises.front().wait(io.waitScope);
    CHECK(budget.used() == 4 * bytes + 2000 + bytes);
    promises.clear();
    CHECK(budget.used() == 0);
}
