package org.fallturn.node.machines;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fallturn.core.port.machines.MachineList;

/**
 * The newest machine list and a bounded number of earlier ones, so that a peer that has one of them
 * gets the change only. Any thread may call.
 */
final class MachineListHistory {

  private static final int MAX_LISTS = 16;
  private static final MachineList EMPTY = new MachineList(MachineListModule.NO_LIST, List.of());

  private final Deque<MachineList> lists = new ArrayDeque<>();
  private final Map<Long, MachineListChange> changes = new HashMap<>();

  MachineListHistory() {
    lists.add(EMPTY);
  }

  synchronized MachineList newest() {
    return lists.getLast();
  }

  /** Adds a list; false when it is not newer. */
  synchronized boolean add(MachineList list) {
    if (list.version() <= newest().version()) {
      return false;
    }
    lists.addLast(list);
    if (lists.size() > MAX_LISTS) {
      lists.removeFirst();
    }
    changes.clear();
    return true;
  }

  /** The change that leads from a version to the newest list, or the whole list. */
  synchronized MachineListChange changeSince(long version) {
    return changes.computeIfAbsent(version, this::computeChange);
  }

  private MachineListChange computeChange(long version) {
    MachineList older =
        lists.stream().filter(list -> list.version() == version).findFirst().orElse(EMPTY);
    return MachineListChange.between(older, newest());
  }
}
