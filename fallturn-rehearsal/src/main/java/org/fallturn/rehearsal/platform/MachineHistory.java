package org.fallturn.rehearsal.platform;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.function.UnaryOperator;
import org.fallturn.core.port.machines.Machine;
import org.fallturn.core.port.machines.MachineList;

/**
 * The machine list with its recent past, so that readers see it with a lag. Any thread may call.
 */
final class MachineHistory {

  private final long lagNanos;
  private final Deque<Entry> entries = new ArrayDeque<>();

  private record Entry(long sinceNanos, MachineList list) {}

  MachineHistory(long lagNanos, long nowNanos) {
    this.lagNanos = lagNanos;
    entries.add(new Entry(nowNanos - lagNanos, new MachineList(0, List.of())));
  }

  /** Changes the present list. */
  synchronized void change(UnaryOperator<List<Machine>> change, long nowNanos) {
    MachineList present = entries.getLast().list();
    List<Machine> next = change.apply(new ArrayList<>(present.machines()));
    entries.addLast(new Entry(nowNanos, new MachineList(present.version() + 1, next)));
    forgetOld(nowNanos);
  }

  /** The list as it was one lag ago. */
  synchronized MachineList seenAt(long nowNanos) {
    forgetOld(nowNanos);
    return entries.getFirst().list();
  }

  private void forgetOld(long nowNanos) {
    while (entries.size() > 1) {
      Iterator<Entry> fromOldest = entries.iterator();
      fromOldest.next();
      Entry second = fromOldest.next();
      if (nowNanos - second.sinceNanos() < lagNanos) {
        return;
      }
      entries.removeFirst();
    }
  }
}
