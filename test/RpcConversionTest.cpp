#include "celeryline/rpc/RpcConversion.h"

#include <capnp/message.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace celeryline;
using namespace celeryline::detail;

namespace {

template <typename Schema, typename T> T roundTrip(const T& value)
{
    capnp::MallocMessageBuilder message;
    write(value, message.initRoot<Schema>());
    return read(message.getRoot<Schema>().asReader());
}

rc::Gen<LogEntry> genEntry()
{
    return rc::gen::exec([] {
        return LogEntry { *rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<std::uint64_t>(),
            *rc::gen::element(LogEntryKind::Noop, LogEntryKind::Command, LogEntryKind::Configuration),
            { *rc::gen::arbitrary<std::int64_t>() }, *rc::gen::arbitrary<std::string>() };
    });
}

} // namespace

TEST_CASE("Every field of a consensus message is converted without loss", "[rpc]")
{
    CHECK(rc::check([](std::uint64_t term, std::uint64_t index, const std::string& payload, bool flag) {
        RaftMessage m;
        m.kind = static_cast<RaftMessageKind>(*rc::gen::inRange(0, 9));
        m.from = { "a", payload.empty() ? "s1" : "s2" };
        m.to = { "b", "" };
        m.term = term;
        m.logIndex = index;
        m.logTerm = term / 2;
        m.commitIndex = index / 2;
        m.rejected = flag;
        m.sequence = term ^ index;
        m.entries = *rc::gen::container<std::vector<LogEntry>>(genEntry());
        m.snapshotChunk = payload;
        m.snapshotOffset = index + 1;
        m.snapshotEnd = !flag;
        auto out = roundTrip<rpc::RaftMessage>(m);
        RC_ASSERT(std::tie(out.kind, out.from, out.to, out.term, out.logIndex, out.logTerm, out.commitIndex)
            == std::tie(m.kind, m.from, m.to, m.term, m.logIndex, m.logTerm, m.commitIndex));
        RC_ASSERT(std::tie(out.rejected, out.sequence, out.entries, out.snapshotChunk, out.snapshotOffset,
                      out.snapshotEnd)
            == std::tie(m.rejected, m.sequence, m.entries, m.snapshotChunk, m.snapshotOffset, m.snapshotEnd));
    }));
}

TEST_CASE("Every field of the other messages is converted without loss", "[rpc]")
{
    Announcement upstream { "r1", UpstreamKind::Worker, "1.2.3.4:5", "dc1", "k1",
        { { "a", "b" }, { "c", "d" } }, 8, 64, 99, { 3000 }, true, { 1, 2, 3 }, { 4, 5, 6 } };
    RegistryDelta delta { "m", 7, 8, true, { { RegistryChangeKind::Left, upstream, 9 } } };
    auto d = roundTrip<rpc::RegistryDelta>(delta);
    CHECK(std::tie(d.manager, d.epoch, d.firstSequence, d.isFullCopy)
        == std::tie(delta.manager, delta.epoch, delta.firstSequence, delta.isFullCopy));
    REQUIRE(d.changes.size() == 1);
    CHECK(d.changes[0].kind == RegistryChangeKind::Left);
    CHECK(d.changes[0].upstream == upstream);
    CHECK(d.changes[0].generation == 9);

    auto h = roundTrip<rpc::Heartbeat>(Heartbeat { "n", "dc", 1, 2, "l", 3, true });
    CHECK(std::tie(h.name, h.dataCentre, h.leader) == std::make_tuple("n", "dc", "l"));
    CHECK(std::tie(h.bootEpoch, h.appliedRevision, h.deltaSequence, h.draining)
        == std::make_tuple(1u, 2u, 3u, true));

    Command command { CommandKind::Ledger, "id", std::string("b\0\x01", 3) };
    CHECK(roundTrip<rpc::Command>(command) == command);
    CommandResult result { true, ErrorKind::Corrupt, "body", 12 };
    CHECK(roundTrip<rpc::CommandResult>(result) == result);

    auto r = roundTrip<rpc::CreditRequest>(CreditRequest { "b", 1, "s", 2, { { "r", 3, 4 } } });
    CHECK(std::tie(r.borrower, r.borrowerEpoch, r.service, r.wanted) == std::make_tuple("b", 1u, "s", 2u));
    REQUIRE(r.returned.size() == 1);
    CHECK(std::tie(r.returned[0].runner, r.returned[0].bootEpoch, r.returned[0].slots)
        == std::make_tuple("r", 3u, 4u));
    auto g = roundTrip<rpc::CreditGrant>(CreditGrant { { { "r", 3, 4 } }, { 5 } });
    CHECK(g.lent.size() == 1);
    CHECK(g.lease == Millis { 5 });
    auto hello = roundTrip<rpc::Hello>(Hello { "n", "s", true, std::string("\0f", 2) });
    CHECK(std::tie(hello.name, hello.storageId, hello.hasLog, hello.formation)
        == std::make_tuple("n", "s", true, std::string("\0f", 2)));
}

TEST_CASE("An unknown enum value is rejected", "[rpc]")
{
    capnp::MallocMessageBuilder message;
    auto builder = message.initRoot<rpc::RaftMessage>();
    builder.setKind(99);
    CHECK_THROWS_AS(read(builder.asReader()), Error);
}

TEST_CASE("The kind and text of an error are transmitted to the caller", "[rpc]")
{
    Error error(ErrorKind::Conflict, "pool \"x\" was changed; twice", "read it again");
    auto sent = toKjException(error);
    kj::Exception arrived(
        kj::Exception::Type::FAILED, "", 0, kj::str("remote exception: ", sent.getDescription()));
    auto received = readError(arrived);
    REQUIRE(received);
    CHECK(received->kind() == ErrorKind::Conflict);
    CHECK(std::string(received->what()) == error.what());
    CHECK_FALSE(readError(KJ_EXCEPTION(FAILED, "other")));
}
