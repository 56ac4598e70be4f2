package org.fallturn.core.idempotency;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.ServiceName;
import org.fallturn.core.domain.TenantName;
import org.fallturn.core.port.table.RowKey;
import org.fallturn.core.port.table.RowWrite;
import org.fallturn.core.port.table.TableRow;
import org.fallturn.core.port.table.TableTransaction;
import org.junit.jupiter.api.Test;

/** Batches of claims against a table that conflicts and loses answers. */
class ClaimBatchTest {

  private static final long NOW = 1_000_000;

  /** Keeps rows by their text, so that no JSON is needed here. */
  private static final class RowTexts implements ClaimRowCodec {
    private final Map<String, ClaimRow> rows = new HashMap<>();

    @Override
    public String encode(ClaimRow row) {
      String text = row.attemptId() + " " + row.state();
      rows.put(text, row);
      return text;
    }

    @Override
    public Optional<ClaimRow> decode(TableRow row) {
      return Optional.ofNullable(rows.get(row.value()));
    }
  }

  private final RowTexts codec = new RowTexts();
  private final Map<RowKey, TableRow> table = new HashMap<>();

  private static Claim claim(String key, String attempt, String body) {
    RowKey row = ClaimKeys.row(new TenantName("t"), new ServiceName("s"), key);
    return new Claim(row, attempt, new NodeId("n"), body, NOW + 10_000);
  }

  private List<TableRow> apply(TableTransaction transaction) {
    List<TableRow> conflicts = new ArrayList<>();
    for (RowWrite write : transaction.writes()) {
      TableRow row = read(write.key());
      if (row.version() != write.expectedVersion()) {
        conflicts.add(row);
      }
    }
    if (conflicts.isEmpty()) {
      for (RowWrite write : transaction.writes()) {
        table.put(
            write.key(), new TableRow(write.key(), write.expectedVersion() + 1, write.value()));
      }
    }
    return conflicts;
  }

  private TableRow read(RowKey key) {
    return table.getOrDefault(key, new TableRow(key, TableRow.ABSENT, ""));
  }

  private ClaimDecision claimAlone(Claim claim) {
    ClaimBatch batch = new ClaimBatch(List.of(claim), codec);
    drive(batch, new Random(0), 0);
    return batch.decisions().get(claim);
  }

  private void drive(ClaimBatch batch, Random random, int lossPercent) {
    for (int round = 0; round < 20; round++) {
      Optional<TableTransaction> next = batch.next();
      if (next.isEmpty()) {
        return;
      }
      boolean requestLost = random.nextInt(100) < lossPercent;
      List<TableRow> conflicts = requestLost ? List.of() : apply(next.get());
      boolean answerLost = requestLost || random.nextInt(100) < lossPercent;
      if (answerLost) {
        batch.onRows(batch.sentKeys().stream().map(this::read).toList(), NOW);
      } else if (conflicts.isEmpty()) {
        batch.onCommitted();
      } else {
        batch.onRows(conflicts, NOW);
      }
    }
    batch.giveUp(true);
  }

  @Property(tries = 2000, seed = "20240603")
  void aKeyIsGrantedOnceAndOnlyWhenItsRowIsWritten(@ForAll long seed) {
    table.clear();
    Random random = new Random(seed);
    Set<RowKey> granted = new HashSet<>();
    for (int wave = 0; wave < 4; wave++) {
      List<Claim> claims = new ArrayList<>();
      for (int index = 0; index < 5; index++) {
        claims.add(claim("k" + random.nextInt(6), wave + "-" + index, "b" + random.nextInt(2)));
      }
      ClaimBatch batch = new ClaimBatch(claims, codec);
      drive(batch, random, 30);
      assertThat(batch.decisions()).hasSize(claims.size());
      for (Claim claim : claims) {
        if (batch.decisions().get(claim) instanceof ClaimDecision.Granted grant) {
          assertThat(granted.add(claim.key())).isTrue();
          assertThat(read(claim.key()).version()).isEqualTo(grant.rowVersion());
          assertThat(codec.decode(read(claim.key())).orElseThrow().attemptId())
              .isEqualTo(claim.attemptId());
        }
      }
    }
  }

  private void settle(Claim claim, long version, ClaimRow row) {
    table.put(claim.key(), new TableRow(claim.key(), version + 1, codec.encode(row)));
  }

  @Test
  void aRetryGetsWhatBecameOfTheFirst() {
    Claim first = claim("k", "a1", "body");
    ClaimDecision.Granted grant = (ClaimDecision.Granted) claimAlone(first);
    assertThat(claimAlone(claim("k", "a2", "body"))).isInstanceOf(ClaimDecision.InProgress.class);
    assertThat(claimAlone(claim("k", "a3", "other"))).isInstanceOf(ClaimDecision.KeyReused.class);
    StoredAnswer answer = new StoredAnswer(200, "text/plain", new byte[] {1});
    settle(
        first,
        grant.rowVersion(),
        first.toRow().with(ClaimRow.State.FINISHED, Optional.of(answer)));
    assertThat(claimAlone(claim("k", "a4", "body"))).isEqualTo(new ClaimDecision.Replay(answer));
    settle(first, 5, first.toRow().with(ClaimRow.State.RELEASED, Optional.empty()));
    assertThat(claimAlone(claim("k", "a5", "body"))).isEqualTo(new ClaimDecision.Granted(7));
  }

  @Test
  void aClaimerThatIsGoneLeavesTheOutcomeUnknown() {
    Claim first = new Claim(claim("k", "a1", "body").key(), "a1", new NodeId("n"), "body", NOW - 1);
    claimAlone(first);
    assertThat(claimAlone(claim("k", "a2", "body"))).isInstanceOf(ClaimDecision.Unknown.class);
  }

  @Test
  void noTenantsKeyNamesAnotherTenantsRow() {
    RowKey one = ClaimKeys.row(new TenantName("a"), new ServiceName("bc"), "k");
    RowKey other = ClaimKeys.row(new TenantName("ab"), new ServiceName("c"), "k");
    assertThat(one).isNotEqualTo(other);
  }
}
