package org.fallturn.rehearsal.engine;

import static org.assertj.core.api.Assertions.assertThat;

import org.fallturn.core.domain.RequestId;
import org.fallturn.core.domain.Urgency;
import org.junit.jupiter.api.Test;

class BatchSchedulerTest {

  private final EngineCosts costs = new EngineCosts(10, 2, 1, 1, 1, 1, 1, 1, 1, 1);
  private final BatchScheduler scheduler = new BatchScheduler(costs);
  private long arrivals;

  @Test
  void generatingSequencesGoBeforePrompts() {
    Sequence generating = sequence(Urgency.NORMAL, 3, 5);
    scheduler.add(generating);
    scheduler.finishStep(scheduler.formStep());
    scheduler.add(sequence(Urgency.NORMAL, 30, 5));
    StepWork work = scheduler.formStep().work();
    assertThat(work.decodeSequences()).isOne();
    assertThat(work.prefillTokens()).isEqualTo(9);
  }

  @Test
  void lastPromptStepGeneratesTheFirstToken() {
    Sequence sequence = sequence(Urgency.NORMAL, 15, 5);
    scheduler.add(sequence);
    assertThat(scheduler.finishStep(scheduler.formStep())).isEmpty();
    assertThat(scheduler.finishStep(scheduler.formStep())).containsExactly(sequence);
    assertThat(sequence.generated()).isOne();
  }

  @Test
  void higherPriorityDisplacesTheLowestRunningOne() {
    Sequence first = sequence(Urgency.NORMAL, 1, 5);
    Sequence second = sequence(Urgency.NORMAL, 1, 5);
    scheduler.add(first);
    scheduler.add(second);
    scheduler.finishStep(scheduler.formStep());
    Sequence urgent = sequence(Urgency.EMERGENCY, 1, 1);
    scheduler.add(urgent);
    assertThat(scheduler.finishStep(scheduler.formStep())).containsExactlyInAnyOrder(first, urgent);
    assertThat(second.generated()).isOne();
    assertThat(scheduler.finishStep(scheduler.formStep())).containsExactly(first, second);
  }

  @Test
  void removedSequenceMakesNoProgressInTheStepUnderWay() {
    Sequence sequence = sequence(Urgency.NORMAL, 1, 5);
    scheduler.add(sequence);
    BatchScheduler.Step step = scheduler.formStep();
    scheduler.remove(sequence);
    assertThat(scheduler.finishStep(step)).isEmpty();
    assertThat(scheduler.isIdle()).isTrue();
  }

  private Sequence sequence(Urgency priority, int prompt, int target) {
    long arrival = arrivals++;
    return new Sequence(new RequestId("r" + arrival), priority, arrival, prompt, prompt, 0, target);
  }
}
