package org.fallturn.rehearsal.emulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.tuple;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.time.Duration;
import java.util.Base64;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.eclipse.jetty.client.HttpClient;
import org.fallturn.core.port.feed.StoreEra;
import org.fallturn.core.port.table.StoreException;
import org.fallturn.core.quarantine.RequestFingerprint;
import org.fallturn.core.scaling.InitialCounts;
import org.fallturn.core.scaling.ScaleAction;
import org.fallturn.core.stages.OrderLeaseReading;
import org.fallturn.core.stages.OrderLeaseRow;
import org.fallturn.core.usage.UsageAgreement;
import org.fallturn.core.usage.UsageReport;
import org.fallturn.core.usage.UsageWindows;
import org.fallturn.platform.InitialCountsTable;
import org.fallturn.platform.OrderLeaseTable;
import org.fallturn.platform.QuarantineTable;
import org.fallturn.platform.UsageTable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Rows of the store that a build before this one wrote, and which both builds use while machines
 * are replaced. Each row is written whole by whoever writes it, so that a field which a later build
 * adds would be lost when the earlier one writes again: what is new gets a row of its own. Fields
 * that are not known are passed over.
 */
class EarlierRowsTest {

  private static final String BUILD = "/builds/3a1ab74/";

  private final ObjectMapper json = new ObjectMapper();
  private final HttpClient client = new HttpClient();
  private EmulatedStore store;

  @BeforeEach
  void start() throws Exception {
    client.start();
    store = new EmulatedStore();
    for (String table : new String[] {"leases", "usage", "quarantine", "standing"}) {
      JsonNode row = recorded(table);
      store.put(table, row.get("key").asText(), row.get("value").asText());
    }
  }

  @AfterEach
  void stop() throws Exception {
    store.close();
    client.stop();
  }

  private JsonNode recorded(String table) throws IOException {
    try (InputStream file = EarlierRowsTest.class.getResourceAsStream(BUILD + table + ".json")) {
      return json.readTree(file);
    }
  }

  /** The value of the only row of a table, as it stands in the store now. */
  private JsonNode stored(String table) throws Exception {
    String path = "/-/rows-get?table=" + table + "&part=&limit=10";
    JsonNode rows =
        json.readTree(client.GET("http://" + store.address() + path).getContent()).get("rows");
    assertThat(rows).hasSize(1);
    return json.readTree(Base64.getDecoder().decode(rows.get(0).get("value").asText()));
  }

  @Test
  void theLeaseOfAnEarlierBuildHoldsAndIsTakenOverInItsForm() throws Exception {
    OrderLeaseTable lease = new OrderLeaseTable(client, store.address());
    OrderLeaseReading reading = lease.read();
    assertThat(reading.row()).contains(new OrderLeaseRow("edge-1", 123_456, 0));
    assertThat(lease.write(new OrderLeaseRow("edge-1", 123_456, 0), reading.position().version()))
        .isPresent();
    JsonNode earlier = json.readTree(recorded("leases").get("value").asText());
    assertThat(stored("leases")).isEqualTo(earlier);
    long version = lease.read().position().version();
    assertThat(lease.write(new OrderLeaseRow("edge-1", 123_456, 2), version)).isPresent();
    ObjectNode withEra = (ObjectNode) stored("leases");
    assertThat(withEra.remove("era").asLong()).isEqualTo(2);
    assertThat(withEra).isEqualTo(earlier);
  }

  private static Optional<UsageReport> fix(UsageTable table, UsageReport proposed)
      throws StoreException {
    UsageWindows windows = new UsageWindows(Duration.ofSeconds(5), Duration.ofSeconds(10));
    return new UsageAgreement(table, windows, () -> windows.settledMillis(proposed.window()))
        .agree(proposed, new StoreEra(0, Duration.ZERO));
  }

  /** Two builds that count the same window report what was fixed first. */
  @Test
  void theCountsThatAnEarlierBuildFixedStand() throws Exception {
    UsageTable usage = new UsageTable(client, store.address());
    Optional<UsageReport> fixed =
        fix(usage, new UsageReport(353_445_120L, Map.of("bakery", 5L, "other", 1L)));
    assertThat(fixed).contains(new UsageReport(353_445_120L, Map.of("bakery", 4L, "farm", 0L)));
    long next = 353_445_120L + 16;
    assertThat(fix(usage, new UsageReport(next, Map.of("bakery", 1L)))).isPresent();
    assertThat(stored("usage").fieldNames()).toIterable().containsExactly("window", "counts");
  }

  @Test
  void theContentsInQuarantineOfAnEarlierBuildAreHeld() throws Exception {
    QuarantineTable quarantine = new QuarantineTable(client, store.address());
    RequestFingerprint content =
        RequestFingerprint.parse(recorded("quarantine").get("key").asText());
    assertThat(quarantine.read()).extracting("content").containsExactly(content);
    quarantine.put(content);
    assertThat(stored("quarantine").fieldNames()).toIterable().containsExactly("writtenMs");
  }

  /** An earlier build skips keys that are no fingerprint, and holds back all others. */
  @Test
  void contentsUnderSuspicionAreNoneInQuarantineToAnEarlierBuild() throws Exception {
    QuarantineTable quarantine = new QuarantineTable(client, store.address());
    RequestFingerprint earlier = quarantine.read().get(0).content();
    RequestFingerprint content = new RequestFingerprint(1, "01");
    quarantine.putSuspect(content, Set.of("e-1", "e-2"));
    assertThat(quarantine.read())
        .extracting("content", "engines")
        .containsExactlyInAnyOrder(tuple(earlier, Set.of()), tuple(content, Set.of("e-1", "e-2")));
    assertThatThrownBy(() -> RequestFingerprint.parse("suspect-" + content))
        .isInstanceOf(IllegalArgumentException.class);
    quarantine.remove(content);
    assertThat(quarantine.read()).extracting("content").containsExactly(earlier);
  }

  @Test
  void theStandingNumbersOfAnEarlierBuildCount() throws Exception {
    InitialCountsTable standing = new InitialCountsTable(client, store.address());
    ScaleAction.RecordInitialCounts observed =
        new ScaleAction.RecordInitialCounts("llm", Map.of("zone-1", 1), false);
    assertThat(new InitialCounts(standing).agree(observed, new StoreEra(0, Duration.ZERO)))
        .contains(Map.of("zone-1", 12, "zone-2", 13));
  }
}
