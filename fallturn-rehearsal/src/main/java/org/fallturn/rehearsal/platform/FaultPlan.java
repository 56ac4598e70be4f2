package org.fallturn.rehearsal.platform;

import java.util.ArrayList;
import java.util.List;
import org.fallturn.core.port.table.TableTransaction;

/**
 * The faults in force and the callers that a silent part keeps waiting. They are let go, without an
 * answer, when the faults change. Any thread may call.
 */
final class FaultPlan {

  private PlatformFaults current = PlatformFaults.NONE;
  private int answersToLose;
  private List<Runnable> held = new ArrayList<>();

  synchronized PlatformFaults current() {
    return current;
  }

  void set(PlatformFaults next) {
    List<Runnable> released;
    synchronized (this) {
      current = next;
      answersToLose = next.loseAnswers();
      released = held;
      held = new ArrayList<>();
    }
    released.forEach(Runnable::run);
  }

  synchronized void hold(Runnable release) {
    held.add(release);
  }

  /** Whether the answer to this transaction is to be lost; counts it when so. */
  synchronized boolean takeLostAnswer(TableTransaction transaction) {
    if (answersToLose == 0 || !concerns(transaction)) {
      return false;
    }
    answersToLose--;
    return true;
  }

  private boolean concerns(TableTransaction transaction) {
    return current.loseTable().isEmpty()
        || transaction.writes().stream()
            .anyMatch(write -> write.key().table().equals(current.loseTable()));
  }
}
