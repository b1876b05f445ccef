// Configuration records: both schemas, refusals by name, round trips.
#include <sycamoremoor/core/config_func.h>
#include <sycamoremoor/core/table/config_table.h>
#include <sycamoremoor/wire/config_codec.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Sycamoremoor
{

namespace
{

struct RefusedRecord {
    const char *name;
    const char *text;
    ErrorKind kind;
    const char *detail; ///< must be part of the error's detail
};

class RefusedRecordTest : public testing::TestWithParam<RefusedRecord>
{
};

template<typename Record, typename Table>
void drawFields(const Table &table, Record &record)
{
    for (const auto &row : table) {
        row.write(record, *rc::gen::inRange(row.least, row.most + 1));
    }
}

ConfigSet drawSet()
{
    ConfigSet set;
    set.revision = Revision(*rc::gen::arbitrary<std::uint64_t>());
    set.changeId = ChangeId(std::to_string(*rc::gen::arbitrary<std::uint64_t>()));
    set.author = "operator";
    set.changedAt = WallTime(Duration(*rc::gen::inRange<std::int64_t>(0, 1LL << 52U)));
    for (const auto *name : {"reclaim-desk", "censo-gado"}) {
        auto &service = set.services[ServiceName(name)];
        service.name = ServiceName(name);
        drawFields(ServiceFieldTable, service);
    }
    auto &team = set.teams[TeamName("intake")];
    team.name = TeamName("intake");
    drawFields(TeamFieldTable, team);
    drawFields(PolicyFieldTable, set.policy);
    return set;
}

} // namespace

TEST_P(RefusedRecordTest, IsToldByName)
{
    ConfigSet set;
    const auto error = decodeConfigRecords(GetParam().text, set);
    ASSERT_TRUE(error.has_value());
    EXPECT_EQ(error->kind, GetParam().kind);
    EXPECT_NE(error->detail.find(GetParam().detail), std::string::npos) << error->detail;
}

INSTANTIATE_TEST_SUITE_P(
    Records,
    RefusedRecordTest,
    testing::Values(
        RefusedRecord{"NoJson", "{", ErrorKind::MalformedBody, ""},
        RefusedRecord{"NoSchema", R"({"kind":"team","name":"a"})", ErrorKind::MalformedBody, "schema"},
        RefusedRecord{"Newer", R"({"schema":3,"kind":"team","name":"a"})", ErrorKind::InvalidValue, "3 is not known"},
        RefusedRecord{"NoKind", R"({"schema":2,"name":"a"})", ErrorKind::MalformedBody, "kind"},
        RefusedRecord{"NoName", R"({"schema":2,"kind":"team"})", ErrorKind::MalformedBody, "name"},
        RefusedRecord{"UnknownField", R"({"schema":2,"kind":"team","name":"a","wieght":2})", ErrorKind::UnknownField, "wieght"},
        RefusedRecord{"OlderFieldInNewer", R"({"schema":2,"kind":"team","name":"a","quota":2})", ErrorKind::UnknownField, "quota"},
        RefusedRecord{
            "NewerFieldInOlder", R"({"schema":1,"kind":"team","name":"a","quota_slots":2})", ErrorKind::UnknownField, "quota_slots"},
        RefusedRecord{
            "OutOfRange", R"({"schema":2,"kind":"team","name":"a","weight":0})", ErrorKind::InvalidValue, "from 1 to 1000 shares, not 0"},
        RefusedRecord{
            "HugeNumber", R"({"schema":2,"kind":"team","name":"a","weight":18446744073709551615})", ErrorKind::InvalidValue, "weight"},
        RefusedRecord{"NoNumber", R"({"schema":2,"kind":"team","name":"a","weight":"2"})", ErrorKind::InvalidValue, "weight"},
        RefusedRecord{
            "Twice", R"([{"schema":1,"kind":"team","name":"a"},{"schema":2,"kind":"team","name":"a"}])", ErrorKind::InvalidValue, "twice"},
        RefusedRecord{"TwoPolicies", R"([{"schema":1,"kind":"policy"},{"schema":2,"kind":"policy"}])", ErrorKind::InvalidValue, "twice"}),
    [](const auto &instance) { return instance.param.name; });

TEST(ConfigCodecTest, BothSchemasStandSideBySide)
{
    ConfigSet set;
    const auto *text = R"([{"schema":1,"kind":"service","name":"censo-gado","slots":4,"deadline_s":20},
                           {"schema":2,"kind":"service","name":"reclaim-desk","slots_per_upstream":6,"default_deadline_ms":1500},
                           {"schema":1,"kind":"policy","ejection_s":7}])";
    ASSERT_EQ(decodeConfigRecords(text, set), std::nullopt);
    const auto &older = set.services.at(ServiceName("censo-gado"));
    EXPECT_EQ(older.slotsPerUpstream, Slots(4));
    EXPECT_EQ(older.defaultDeadline, std::chrono::seconds(20));
    EXPECT_EQ(older.maxQueueTasks, ServiceRecord().maxQueueTasks);
    EXPECT_EQ(set.services.at(ServiceName("reclaim-desk")).defaultDeadline, std::chrono::milliseconds(1500));
    EXPECT_EQ(set.policy.ejectionTime, std::chrono::seconds(7));
}

TEST(ConfigCodecTest, KeysSortAsRevisions)
{
    EXPECT_EQ(configKey(Revision(7)), "sycamoremoor/v1/config/00000000000000000007");
    EXPECT_LT(configKey(Revision(9)), configKey(Revision(10)));
}

RC_GTEST_PROP(ConfigCodecProperty, StoredSetsReadBack, ())
{
    const auto set = drawSet();
    ConfigSet read;
    RC_ASSERT(decodeConfigSet(encodeConfigSet(set), read) == std::nullopt);
    RC_ASSERT(read == set);
    ConfigSet written;
    RC_ASSERT(decodeConfigRecords(encodeConfigRecords(set), written) == std::nullopt);
    RC_ASSERT(diffConfig(set, written).empty());
}

RC_GTEST_PROP(ConfigCodecProperty, HeadsReadBack, (std::uint64_t revision))
{
    const ConfigHead head{Revision(revision), ChangeId("change"), "operator", WallTime(Duration(1))};
    ConfigHead read;
    RC_ASSERT(decodeConfigHead(encodeConfigHead(head), read) == std::nullopt);
    RC_ASSERT(read == head);
}

RC_GTEST_PROP(ConfigCodecProperty, CutTextIsRefused, ())
{
    const auto text = encodeConfigSet(drawSet());
    ConfigSet read;
    RC_ASSERT(decodeConfigSet(text.substr(0, *rc::gen::inRange<std::size_t>(0, text.size())), read) != std::nullopt);
}

} // namespace Sycamoremoor
