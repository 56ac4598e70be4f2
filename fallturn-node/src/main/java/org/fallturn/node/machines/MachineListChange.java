package org.fallturn.node.machines;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fallturn.core.port.machines.Machine;
import org.fallturn.core.port.machines.MachineList;

/**
 * What leads from one machine list to another.
 *
 * @param from the version it starts from; {@link MachineListModule#NO_LIST} for the empty list
 * @param to the version it leads to
 * @param put machines added or changed
 * @param removed ids of machines no longer listed
 */
public record MachineListChange(long from, long to, List<Machine> put, List<String> removed) {

  /** Private copies of the lists. */
  public MachineListChange {
    put = List.copyOf(put);
    removed = List.copyOf(removed);
  }

  /** The change between two lists. */
  static MachineListChange between(MachineList older, MachineList newer) {
    Map<String, Machine> known = byId(older);
    Set<String> gone = new HashSet<>(known.keySet());
    List<Machine> put = new ArrayList<>();
    for (Machine machine : newer.machines()) {
      gone.remove(machine.id());
      if (!machine.equals(known.get(machine.id()))) {
        put.add(machine);
      }
    }
    return new MachineListChange(older.version(), newer.version(), put, List.copyOf(gone));
  }

  /** The list after the change. */
  MachineList applyTo(MachineList older) {
    Set<String> replaced = new HashSet<>(removed);
    put.forEach(machine -> replaced.add(machine.id()));
    List<Machine> machines = new ArrayList<>();
    for (Machine machine : older.machines()) {
      if (!replaced.contains(machine.id())) {
        machines.add(machine);
      }
    }
    machines.addAll(put);
    return new MachineList(to, machines);
  }

  private static Map<String, Machine> byId(MachineList list) {
    Map<String, Machine> machines = new HashMap<>();
    list.machines().forEach(machine -> machines.put(machine.id(), machine));
    return machines;
  }
}
