package org.fallturn.node.operators;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fallturn.core.configuration.ConfigurationDelta;
import org.fallturn.core.configuration.ConfigurationImage;
import org.fallturn.core.configuration.ConfigurationRecord;
import org.fallturn.core.configuration.TenantRecord;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.TenantName;
import org.fallturn.core.query.Column;
import org.fallturn.core.query.Condition;
import org.fallturn.core.query.TableSchema;
import org.junit.jupiter.api.Test;

class QuotaOwnersTest {

  private static final NodeId SELF = new NodeId("owner-of-tenant-0");
  private static final int TENANTS = 100;
  private static final TableSchema SCHEMA =
      TableSchema.of("usage", Column.text("tenant"), Column.integer("holders"));

  private final QuotaOwners owners =
      new QuotaOwners(
          QuotaOwnersTest::image,
          tenant -> new NodeId("owner-of-" + tenant),
          node -> Optional.of(NetworkAddress.parse("127.0.0.1:1")));

  @Test
  void conditionOnTenantAsksItsOwnerOnly() throws Exception {
    List<PartTarget> targets = targets("tenant = 'tenant-7' AND holders > 1");

    assertThat(targets)
        .extracting(PartTarget::name)
        .containsExactly("quota owner owner-of-tenant-7 of 1 tenants");
  }

  @Test
  void ownTenantIsAnsweredHere() throws Exception {
    assertThat(targets("tenant IN ('tenant-0')")).extracting(PartTarget::local).containsOnly(true);
  }

  @Test
  void otherConditionAsksBoundedNumberAndNamesTheRest() throws Exception {
    List<PartTarget> targets = targets("holders > 1");

    assertThat(targets).hasSize(TENANTS);
    assertThat(targets)
        .filteredOn(target -> target.local() || !target.contacts().isEmpty())
        .hasSize(QuotaOwners.MAX_ASKED);
  }

  private List<PartTarget> targets(String where) throws Exception {
    try (StatementParser parser = new StatementParser(Map.of("usage", SCHEMA))) {
      Submission.Query query =
          (Submission.Query) parser.parse("SELECT * FROM usage WHERE " + where);
      Optional<Condition> condition = query.selection().where();
      return owners.targets(SELF, condition, SCHEMA.columns().size());
    }
  }

  private static ConfigurationImage image() {
    List<ConfigurationRecord> tenants = new ArrayList<>();
    for (int index = 0; index < TENANTS; index++) {
      tenants.add(new TenantRecord(new TenantName("tenant-" + index), 1, 1, 1, 1, 1));
    }
    return ConfigurationImage.EMPTY.apply(
        new ConfigurationDelta(1, "a", "ana", Instant.EPOCH, "", tenants, List.of()));
  }
}
