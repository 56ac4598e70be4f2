package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.fallturn.core.port.table.StoreException;
import org.fallturn.core.quarantine.QuarantineStore;
import org.fallturn.core.quarantine.RequestFingerprint;
import org.fallturn.node.duty.FaultListener;
import org.junit.jupiter.api.Test;

/**
 * Guards against a row that is never written because a later write of the same content takes its
 * place in the queue: nodes that start anew would know the engines and not the quarantine, or hold
 * back all that shares a part since they do not know the engines.
 */
class QuarantineDutyTest {

  private static final RequestFingerprint FIRST = new RequestFingerprint(1, "ab");
  private static final RequestFingerprint CONTENT = new RequestFingerprint(2, "cd");

  private final CountDownLatch storeAnswers = new CountDownLatch(1);
  private final List<String> written = new CopyOnWriteArrayList<>();

  private final QuarantineStore store =
      new QuarantineStore() {
        @Override
        public List<StoredContent> read() {
          return List.of();
        }

        @Override
        public void put(RequestFingerprint content) throws StoreException {
          write("quarantined " + content);
        }

        @Override
        public void putSuspect(RequestFingerprint content, Set<String> engines)
            throws StoreException {
          write("suspected " + content + " " + engines);
        }

        @Override
        public void remove(RequestFingerprint content) throws StoreException {
          write("removed " + content);
        }
      };

  private void write(String row) throws StoreException {
    try {
      storeAnswers.await();
    } catch (InterruptedException e) {
      throw new StoreException("ended while the store was slow", false, e);
    }
    written.add(row);
  }

  @Test
  void bothRowsOfAContentAreWrittenAndARemovalTakesTheirPlace() {
    String last = "suspected " + FIRST + " [e-2]";
    DecisionLog log = new DecisionLog(new GatewayMetrics());
    try (QuarantineDuty duty = new QuarantineDuty(store, event -> {}, log)) {
      duty.start(FaultListener.LOG_ONLY);
      duty.put(FIRST);
      duty.putSuspect(CONTENT, Set.of("e-1"));
      duty.put(CONTENT);
      duty.remove(FIRST);
      duty.putSuspect(FIRST, Set.of("e-2"));
      storeAnswers.countDown();
      await().atMost(Duration.ofSeconds(15)).until(() -> written.contains(last));
      assertThat(written)
          .containsSubsequence(
              "suspected " + CONTENT + " [e-1]", "quarantined " + CONTENT, "removed " + FIRST)
          .endsWith(last);
    }
  }
}
