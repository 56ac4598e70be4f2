package org.fallturn.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against a send that an engine may have run and that is shown as one that it did not. */
class EndedSendTest {

  @ParameterizedTest
  @EnumSource(AttemptOutcome.class)
  void runHasEvidenceOnlyWhenItCannotHaveBegun(AttemptOutcome outcome) {
    EndedSend run = new EndedSend("e-1", false, false, outcome);
    assertThat(run.notRunEvidence().isPresent()).isEqualTo(!outcome.mayHaveRun());
  }

  @ParameterizedTest
  @EnumSource(AttemptOutcome.class)
  void prefillIsNoRunHoweverItEnds(AttemptOutcome outcome) {
    EndedSend prefill = new EndedSend("e-1", true, false, outcome);
    assertThat(prefill.notRunEvidence()).contains(NotRunEvidence.PREFILL);
  }
}
