#include "suite.h"

#include "parsleyvane/billing/billqueue.h"

#include <set>

namespace parsleyvane {

namespace {

constexpr TimePoint start{Milliseconds{1000}};

Bill billFor(const std::string &request)
{
    return {.request = RequestId(request),
            .account = AccountId("txoko-members"),
            .task = TaskName("kit-return"),
            .version = {ModelName("wattle"), VersionName("3.1")},
            .promptTokens = Tokens(12),
            .outputTokens = Tokens(30),
            .cost = MicroCost(450)};
}

/// A table that inserts batches atomically, with delayed writes as in the platform's store.
struct FakeTable
{
    enum class Reply { Committed, Conflict, Lost };

    std::map<RequestId, unsigned> inserts;
    std::vector<BillBatch> delayed;

    std::vector<RequestId> present(const BillBatch &batch) const
    {
        std::vector<RequestId> found;
        for (const Bill &bill : batch.bills) {
            if (this->inserts.contains(bill.request)) {
                found.push_back(bill.request);
            }
        }
        return found;
    }

    bool transact(const BillBatch &batch)
    {
        if (!this->present(batch).empty()) {
            return false;
        }
        for (const Bill &bill : batch.bills) {
            ++this->inserts[bill.request];
        }
        return true;
    }

    void commitOneDelayed()
    {
        if (this->delayed.empty()) {
            return;
        }
        this->transact(this->delayed.front());
        this->delayed.erase(this->delayed.begin());
    }
};

/// Writes the batch with one of four outcomes and reports to the queue what a store client would see of it.
void writeWithFault(BillQueue &queue, FakeTable &table, const BillBatch &batch, unsigned outcome, TimePoint now)
{
    switch (outcome) {
    case 0:
        if (table.transact(batch)) {
            queue.onCommitted(batch.number);
        } else {
            queue.onConflict(batch.number, table.present(batch), now);
        }
        return;
    case 1:
        table.transact(batch);
        break;
    case 2:
        table.delayed.push_back(batch);
        break;
    default:
        break;
    }
    queue.onLost(batch.number, now);
}

} // namespace

class BillingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BillingTest);
    CPPUNIT_TEST(batchIsDueOneGatherTimeAfterItsFirstBill);
    CPPUNIT_TEST(fullBatchIsDueImmediately);
    CPPUNIT_TEST(batchWithLostReplyIsResentUnchanged);
    CPPUNIT_TEST(conflictRemovesBilledRequestsAndRequeuesTheRest);
    CPPUNIT_TEST(conflictWithoutProgressDelaysTheRetry);
    CPPUNIT_TEST(fullQueueRefusesNewBillsButAcceptsQueuedOnes);
    CPPUNIT_TEST(repliesToOtherBatchesAreIgnored);
    CPPUNIT_TEST(everyBillIsWrittenExactlyOnceAfterAnOutage);
    CPPUNIT_TEST_SUITE_END();

public:
    void batchIsDueOneGatherTimeAfterItsFirstBill()
    {
        BillQueue queue;
        CPPUNIT_ASSERT(!queue.nextDue());
        queue.add(billFor("r1"), start);
        CPPUNIT_ASSERT(!queue.nextBatch(start));
        CPPUNIT_ASSERT(*queue.nextDue() == start + Milliseconds{5});
        queue.add(billFor("r2"), start + Milliseconds{4});
        const auto batch = queue.nextBatch(start + Milliseconds{5});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, batch->bills.size());
        CPPUNIT_ASSERT(queue.isPending(RequestId("r1")));
        queue.onCommitted(batch->number);
        CPPUNIT_ASSERT(!queue.isPending(RequestId("r1")));
        CPPUNIT_ASSERT(!queue.nextDue());
    }

    void fullBatchIsDueImmediately()
    {
        BillQueue queue({.batchSize = 2});
        queue.add(billFor("r1"), start);
        queue.add(billFor("r2"), start);
        queue.add(billFor("r3"), start);
        const auto batch = queue.nextBatch(start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, batch->bills.size());
        CPPUNIT_ASSERT(!queue.nextBatch(start + Milliseconds{100}));
        queue.onCommitted(batch->number);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue.nextBatch(start + Milliseconds{5})->bills.size());
    }

    void batchWithLostReplyIsResentUnchanged()
    {
        BillQueue queue;
        queue.add(billFor("r1"), start);
        const auto first = queue.nextBatch(start + Milliseconds{5});
        queue.add(billFor("r2"), start + Milliseconds{6});
        queue.onLost(first->number, start + Milliseconds{10});
        CPPUNIT_ASSERT(!queue.nextBatch(start + Milliseconds{259}));
        const auto again = queue.nextBatch(start + Milliseconds{260});
        CPPUNIT_ASSERT(again->number == first->number && again->bills == first->bills);
        CPPUNIT_ASSERT(!queue.nextBatch(start + Milliseconds{261}));
    }

    void conflictRemovesBilledRequestsAndRequeuesTheRest()
    {
        BillQueue queue;
        queue.add(billFor("r1"), start);
        queue.add(billFor("r2"), start);
        const auto batch = queue.nextBatch(start + Milliseconds{5});
        queue.onConflict(batch->number, {RequestId("r1")}, start + Milliseconds{6});
        CPPUNIT_ASSERT(!queue.isPending(RequestId("r1")));
        const auto rest = queue.nextBatch(start + Milliseconds{6});
        CPPUNIT_ASSERT(rest->bills == std::vector<Bill>{billFor("r2")});
    }

    void conflictWithoutProgressDelaysTheRetry()
    {
        BillQueue queue;
        queue.add(billFor("r1"), start);
        const auto batch = queue.nextBatch(start + Milliseconds{5});
        queue.onConflict(batch->number, {}, start + Milliseconds{6});
        CPPUNIT_ASSERT(!queue.nextBatch(start + Milliseconds{7}));
        CPPUNIT_ASSERT(*queue.nextDue() == start + Milliseconds{256});
    }

    void fullQueueRefusesNewBillsButAcceptsQueuedOnes()
    {
        BillQueue queue({.capacity = 1});
        CPPUNIT_ASSERT(queue.add(billFor("r1"), start));
        CPPUNIT_ASSERT(!queue.add(billFor("r2"), start));
        CPPUNIT_ASSERT(queue.add(billFor("r1"), start));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue.pending().size());
    }

    void repliesToOtherBatchesAreIgnored()
    {
        BillQueue queue;
        queue.add(billFor("r1"), start);
        const auto batch = queue.nextBatch(start + Milliseconds{5});
        queue.onCommitted(batch->number + 1);
        queue.onConflict(batch->number + 1, {RequestId("r1")}, start);
        queue.onLost(batch->number + 1, start);
        CPPUNIT_ASSERT(queue.isPending(RequestId("r1")));
        CPPUNIT_ASSERT(!queue.nextBatch(start + Milliseconds{1000}));
    }

    void everyBillIsWrittenExactlyOnceAfterAnOutage()
    {
        test::property("every added bill is in the table exactly once when the outage has ended", []() {
            FakeTable table;
            BillQueue queues[2] = {BillQueue({.batchSize = 3}), BillQueue({.batchSize = 3})};
            std::set<RequestId> added;
            TimePoint now = start;
            const auto steps = *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 4000U));
            for (const unsigned step : steps) {
                now += Milliseconds{step % 300};
                BillQueue &queue = queues[step % 2];
                // Both instances may bill the same request, since a client may repeat it with its idempotency key.
                const Bill bill = billFor("r" + std::to_string(step / 2 % 40));
                if (queue.add(bill, now)) {
                    added.insert(bill.request);
                }
                if (const auto batch = queue.nextBatch(now)) {
                    writeWithFault(queue, table, *batch, step / 7 % 4, now);
                }
                if (step % 5 == 0) {
                    table.commitOneDelayed();
                }
            }
            for (BillQueue &queue : queues) {
                unsigned bound = 0;
                while (queue.size() > 0 && ++bound < 1000) {
                    now = *queue.nextDue();
                    writeWithFault(queue, table, *queue.nextBatch(now), 0, now);
                    table.commitOneDelayed();
                }
                RC_ASSERT(queue.size() == 0U);
            }
            while (!table.delayed.empty()) {
                table.commitOneDelayed();
            }
            RC_ASSERT(table.inserts.size() == added.size());
            for (const auto &[request, count] : table.inserts) {
                RC_ASSERT(count == 1U);
                RC_ASSERT(added.contains(request));
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BillingTest);

} // namespace parsleyvane
