package org.fallturn.core.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.PoolId;
import org.junit.jupiter.api.Test;

/** What a witness may promise and consent to. */
class WitnessRegisterTest {

  private static final NodeId SELF = new NodeId("witness");
  private static final PoolId POOL = PoolId.parse("zone/model/0");
  private static final LeaseParameters PARAMETERS =
      LeaseParameters.of(Duration.ofSeconds(6), Duration.ofSeconds(2), Duration.ofMillis(500));
  private static final long SECOND = Duration.ofSeconds(1).toNanos();

  private final WitnessRegister register = new WitnessRegister(SELF, PARAMETERS);

  private PromiseAnswer.Result promise(long version, boolean reachable, long now) {
    PromiseRequest request =
        new PromiseRequest(SELF, POOL, new NodeId("holder"), new Epoch(1), version, 6000);
    return register.promise(request, reachable, now).result();
  }

  private ConsentAnswer.Result consent(long version, long now) {
    ConsentRequest request = new ConsentRequest(SELF, POOL, new NodeId("challenger"), version);
    return register.consent(request, now).result();
  }

  @Test
  void consentsOnlyAfterThePromiseHasRunOut() {
    assertThat(promise(3, false, 0)).isEqualTo(PromiseAnswer.Result.PROMISED);
    assertThat(consent(3, 6 * SECOND)).isEqualTo(ConsentAnswer.Result.PROMISE_RUNNING);
    assertThat(consent(3, 7 * SECOND)).isEqualTo(ConsentAnswer.Result.CONSENTED);
  }

  @Test
  void neverPromisesAVersionThatWasContestedHoweverLongAgo() {
    consent(3, 0);
    assertThat(promise(3, false, 1_000_000 * SECOND)).isEqualTo(PromiseAnswer.Result.CONTESTED);
    assertThat(promise(2, false, 1_000_000 * SECOND)).isEqualTo(PromiseAnswer.Result.CONTESTED);
    assertThat(promise(4, false, 0)).isEqualTo(PromiseAnswer.Result.PROMISED);
  }

  @Test
  void refusedConsentStillContests() {
    promise(3, false, 0);
    assertThat(consent(3, SECOND)).isEqualTo(ConsentAnswer.Result.PROMISE_RUNNING);
    assertThat(promise(3, false, 2 * SECOND)).isEqualTo(PromiseAnswer.Result.CONTESTED);
  }

  @Test
  void doesNotExtendTheLeaseOfAHolderThatAloneIsCutOff() {
    assertThat(promise(3, true, 0)).isEqualTo(PromiseAnswer.Result.TABLE_REACHABLE);
    assertThat(consent(3, 0)).isEqualTo(ConsentAnswer.Result.CONSENTED);
  }

  @Test
  void anotherProcessAtTheSameAddressAnswersForItselfOnly() {
    NodeId earlier = new NodeId("earlier-process");
    PromiseRequest promise =
        new PromiseRequest(earlier, POOL, new NodeId("holder"), new Epoch(1), 3, 6000);
    ConsentRequest consent = new ConsentRequest(earlier, POOL, new NodeId("challenger"), 3);
    assertThat(register.promise(promise, false, 0).result())
        .isEqualTo(PromiseAnswer.Result.WRONG_PROCESS);
    assertThat(register.consent(consent, 0).result()).isEqualTo(ConsentAnswer.Result.WRONG_PROCESS);
  }
}
