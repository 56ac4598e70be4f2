package org.fallturn.rehearsal.soak;

import java.util.Arrays;
import java.util.List;
import org.fallturn.rehearsal.emulator.EngineFault;
import org.fallturn.rehearsal.emulator.StoreFault;
import org.fallturn.rehearsal.faults.LinkFaults;

/** A kind of trouble, how it begins and how it ends. The target is an index among its things. */
enum SoakFault {
  GATEWAY_KILLED(Lane.FLEET) {
    @Override
    void begin(SoakFleet fleet, int target) throws Exception {
      fleet.gateway(target).kill();
    }

    @Override
    void end(SoakFleet fleet, int target) throws Exception {
      fleet.gateway(target).start();
    }
  },
  GATEWAY_STOPPED(Lane.FLEET) {
    @Override
    void begin(SoakFleet fleet, int target) throws Exception {
      fleet.gateway(target).terminate();
    }

    @Override
    void end(SoakFleet fleet, int target) throws Exception {
      fleet.gateway(target).kill();
      fleet.gateway(target).start();
    }
  },
  GATEWAY_PAUSED(Lane.FLEET) {
    @Override
    void begin(SoakFleet fleet, int target) throws Exception {
      fleet.gateway(target).pause();
    }

    @Override
    void end(SoakFleet fleet, int target) throws Exception {
      fleet.gateway(target).resume();
    }
  },
  STORE_DOWN(Lane.FLEET) {
    @Override
    void begin(SoakFleet fleet, int target) {
      fleet.platform().store().misbehave(StoreFault.DOWN);
    }
  },
  STORE_THROTTLED(Lane.FLEET) {
    @Override
    void begin(SoakFleet fleet, int target) {
      fleet.platform().store().misbehave(StoreFault.THROTTLED);
    }
  },
  STORE_SILENT(Lane.FLEET) {
    @Override
    void begin(SoakFleet fleet, int target) {
      fleet.platform().store().misbehave(StoreFault.SILENT);
    }
  },
  STORE_STALE(Lane.FLEET) {
    @Override
    void begin(SoakFleet fleet, int target) {
      fleet.platform().store().misbehave(StoreFault.STALE_READS);
    }
  },
  STORE_CUT_FROM_ONE(Lane.FLEET) {
    @Override
    void begin(SoakFleet fleet, int target) {
      fleet.setStoreLink(target, LinkFaults.SILENT);
    }

    @Override
    void end(SoakFleet fleet, int target) {
      fleet.setStoreLink(target, LinkFaults.NONE);
    }
  },
  ENGINE_DRAINS(Lane.FLEET) {
    @Override
    void begin(SoakFleet fleet, int target) {
      fleet.drain(target);
    }

    @Override
    void end(SoakFleet fleet, int target) {
      fleet.endDrain(target);
    }
  },
  ENGINE_REJECTS(EngineFault.REJECT),
  ENGINE_FAILS(EngineFault.FAIL),
  ENGINE_LOSES_ANSWERS(EngineFault.LOSE_ANSWER),
  ENGINE_BREAKS_OFF(EngineFault.BREAK_MIDWAY),
  ENGINE_RESETS(EngineFault.RESET_WITHOUT_LENGTH),
  ENGINE_SILENT(EngineFault.SILENT),
  ENGINE_ANSWERS_OTHERS(EngineFault.WRONG_REQUEST),
  ENGINE_FORGETS_MARK(EngineFault.UNSIGNED),
  ENGINE_LIES_UNAVAILABLE(EngineFault.UNAVAILABLE_BUT_RAN);

  /** Faults of one lane follow each other; those of two lanes meet. */
  enum Lane {
    FLEET,
    ENGINE
  }

  private final Lane lane;
  private final EngineFault engineFault;

  SoakFault(Lane lane) {
    this.lane = lane;
    this.engineFault = EngineFault.NONE;
  }

  SoakFault(EngineFault engineFault) {
    this.lane = Lane.ENGINE;
    this.engineFault = engineFault;
  }

  static List<SoakFault> of(Lane lane) {
    return Arrays.stream(values()).filter(fault -> fault.lane == lane).toList();
  }

  void begin(SoakFleet fleet, int target) throws Exception {
    fleet.engine(target).misbehave(engineFault);
  }

  void end(SoakFleet fleet, int target) throws Exception {
    if (lane == Lane.ENGINE) {
      fleet.engine(target).misbehave(EngineFault.NONE);
    } else {
      fleet.platform().store().misbehave(StoreFault.NONE);
    }
  }
}
