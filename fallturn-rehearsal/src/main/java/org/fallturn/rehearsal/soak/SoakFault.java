package org.fallturn.rehearsal.soak;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import org.fallturn.rehearsal.emulator.EmulatedEngine;
import org.fallturn.rehearsal.emulator.EmulatedPlatform;
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

    @Override
    boolean touches(int gateway, int target, int gateways) {
      return gateway == SoakFleet.gatewayIndex(target, gateways);
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

    @Override
    boolean touches(int gateway, int target, int gateways) {
      return gateway == SoakFleet.gatewayIndex(target, gateways);
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

    @Override
    boolean touches(int gateway, int target, int gateways) {
      return gateway == SoakFleet.gatewayIndex(target, gateways);
    }
  },
  STORE_DOWN(StoreFault.DOWN),
  STORE_THROTTLED(StoreFault.THROTTLED),
  STORE_SILENT(StoreFault.SILENT),
  STORE_STALE(StoreFault.STALE_READS),
  STORE_CUT_FROM_ONE(Lane.FLEET) {
    @Override
    void begin(SoakFleet fleet, int target) {
      fleet.setStoreLink(target, LinkFaults.SILENT);
    }

    @Override
    void end(SoakFleet fleet, int target) {
      fleet.setStoreLink(target, LinkFaults.NONE);
    }

    @Override
    boolean touches(int gateway, int target, int gateways) {
      return gateway == SoakFleet.gatewayIndex(target, gateways);
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

    @Override
    boolean touches(int gateway, int target, int gateways) {
      return false;
    }
  },
  ENGINE_SAYS_IT_LEAVES(Lane.ENGINE) {
    @Override
    void begin(SoakFleet fleet, int target) {
      fleet.sayLeaving(target);
    }

    @Override
    void end(SoakFleet fleet, int target) throws Exception {
      fleet.replaceLeaving(target);
    }
  },
  ENGINE_WANTS_REST(Lane.ENGINE) {
    @Override
    void begin(SoakFleet fleet, int target) {
      fleet.rest(target);
    }

    @Override
    void end(SoakFleet fleet, int target) {
      fleet.endRest(target);
    }
  },
  ENGINE_NAMES_A_LIMIT(Lane.LIMITS) {
    @Override
    void begin(SoakFleet fleet, int target) {
      fleet.nameLimit(target, List.of(fleet.engine(target)));
    }

    @Override
    void end(SoakFleet fleet, int target) {
      fleet.endLimit(target);
    }
  },
  ENGINES_OF_A_SERVICE_NAME_LIMITS(Lane.LIMITS) {
    @Override
    void begin(SoakFleet fleet, int target) {
      fleet.nameLimit(target, fleet.sameServiceAs(fleet.engine(target)));
    }

    @Override
    void end(SoakFleet fleet, int target) {
      fleet.endLimit(target);
    }
  },
  POISON_COMES(Lane.REQUESTS) {
    @Override
    void begin(SoakFleet fleet, int target) {
      fleet.addPoison(target);
    }

    @Override
    void end(SoakFleet fleet, int target) {
      // it comes until the end of the run
    }
  },
  STORE_RESTORED(Lane.STORE) {
    @Override
    void begin(SoakFleet fleet, int target) {
      fleet.loseStore(target);
    }

    @Override
    void end(SoakFleet fleet, int target) throws Exception {
      fleet.restoreStore();
    }
  },
  ROUTE_ADDED(Lane.OPERATOR) {
    @Override
    void begin(SoakFleet fleet, int target) {
      fleet.addRoute();
    }

    @Override
    void end(SoakFleet fleet, int target) {
      fleet.removeRoute();
    }
  },
  POISON_PART_COMES(Lane.PROMPT_PARTS) {
    @Override
    void begin(SoakFleet fleet, int target) {
      fleet.addPoisonPart(target);
    }

    @Override
    void end(SoakFleet fleet, int target) {
      // it comes until the end of the run
    }
  },
  ANSWERS_END_WITH_CONNECTION(Lane.FRAMING) {
    @Override
    void begin(SoakFleet fleet, int target) {
      fleet.endAnswersWithConnection(target);
    }

    @Override
    void end(SoakFleet fleet, int target) {
      fleet.markEndsOfAnswers(target);
    }
  },
  GATEWAY_CROWDED(Lane.CONNECTIONS) {
    @Override
    void begin(SoakFleet fleet, int target) {
      fleet.crowd(target);
    }

    @Override
    void end(SoakFleet fleet, int target) {
      fleet.endCrowd();
    }
  },
  GATEWAY_RELOADED(Lane.SIGNALS) {
    @Override
    void begin(SoakFleet fleet, int target) throws Exception {
      fleet.gateway(target).reload();
    }

    @Override
    void end(SoakFleet fleet, int target) throws Exception {
      fleet.gateway(target).reload();
    }
  },
  GATEWAY_FROZEN(Lane.SIGNALS) {
    @Override
    void begin(SoakFleet fleet, int target) throws Exception {
      fleet.gateway(target).pause();
    }

    @Override
    void end(SoakFleet fleet, int target) throws Exception {
      fleet.gateway(target).resume();
    }

    @Override
    boolean touches(int gateway, int target, int gateways) {
      return gateway == SoakFleet.gatewayIndex(target, gateways);
    }
  },
  PEER_REQUESTS_SILENT(Lane.PEER_LINKS) {
    @Override
    void begin(SoakFleet fleet, int target) {
      fleet.silencePeerRequests(target);
    }

    @Override
    void end(SoakFleet fleet, int target) {
      fleet.endPeerSilence(target);
    }
  },
  ENGINES_KILLED(Lane.KILLS) {
    @Override
    void begin(SoakFleet fleet, int target) {
      fleet.kills().begin(target);
    }

    @Override
    void end(SoakFleet fleet, int target) {
      fleet.kills().end(target);
    }
  },
  GATEWAY_WITHOUT_NEWS(Lane.OUT_OF_STEP) {
    @Override
    void begin(SoakFleet fleet, int target) {
      fleet.setStoreLink(target, LinkFaults.SILENT);
      fleet.gateway(target).setDatagrams(LinkFaults.SILENT);
      fleet.upgrades().begin(target);
    }

    @Override
    void end(SoakFleet fleet, int target) {
      fleet.setStoreLink(target, LinkFaults.NONE);
      fleet.gateway(target).setDatagrams(LinkFaults.NONE);
      fleet.upgrades().end(target);
    }
  },
  GATEWAY_SUSPENDED_IN_RELEASE(Lane.OUT_OF_STEP) {
    @Override
    void begin(SoakFleet fleet, int target) throws Exception {
      fleet.gateway(target).pause();
      fleet.upgrades().begin(target);
    }

    @Override
    void end(SoakFleet fleet, int target) throws Exception {
      fleet.gateway(target).resume();
      fleet.upgrades().end(target);
    }
  },
  ODD_ENTRY(Lane.ODD_ENTRIES) {
    @Override
    void begin(SoakFleet fleet, int target) {
      fleet.oddEntries().begin(target);
    }

    @Override
    void end(SoakFleet fleet, int target) {
      fleet.oddEntries().end(target);
    }
  },
  ODD_ENTRY_OVER_A_SOUND_ONE(Lane.ODD_ENTRIES) {
    @Override
    void begin(SoakFleet fleet, int target) {
      fleet.oddEntries().beginOver(target);
    }

    @Override
    void end(SoakFleet fleet, int target) {
      fleet.oddEntries().end(target);
    }
  },
  ENGINE_SENDS_WITHOUT_END(Lane.ENDLESS_ANSWERS) {
    @Override
    void begin(SoakFleet fleet, int target) {
      fleet.engine(target).misbehave(EngineFault.ENDLESS);
    }

    @Override
    void end(SoakFleet fleet, int target) {
      fleet.engine(target).misbehaveInPlaceOf(EngineFault.ENDLESS, EngineFault.NONE);
    }
  },
  ENGINES_OF_A_SERVICE_SEND_WITHOUT_END(Lane.ENDLESS_ANSWERS) {
    @Override
    void begin(SoakFleet fleet, int target) {
      List<EmulatedEngine> engines = fleet.sameServiceAs(fleet.engine(target));
      engines.stream().skip(1).forEach(engine -> engine.misbehave(EngineFault.ENDLESS));
    }

    @Override
    void end(SoakFleet fleet, int target) {
      fleet
          .platform()
          .engines()
          .forEach(engine -> engine.misbehaveInPlaceOf(EngineFault.ENDLESS, EngineFault.NONE));
    }
  },
  MODEL_ENGINES_REPEAT_REFUSALS(Lane.REPEATED_REFUSALS) {
    @Override
    void begin(SoakFleet fleet, int target) {
      fleet.repeatRefusals(EmulatedPlatform.MODEL_SERVICE, target);
    }

    @Override
    void end(SoakFleet fleet, int target) {
      fleet.endRepeatingRefusals();
    }
  },
  APPLICATIONS_REPEAT_REFUSALS(Lane.REPEATED_REFUSALS) {
    @Override
    void begin(SoakFleet fleet, int target) {
      fleet.repeatRefusals(EmulatedPlatform.APPLICATION_SERVICE, target);
    }

    @Override
    void end(SoakFleet fleet, int target) {
      fleet.endRepeatingRefusals();
    }
  },
  ENGINES_RELEASED(Lane.RELEASES),
  ENGINES_RELEASED_MEANWHILE(Lane.OVERLAPPING_RELEASES),
  ENGINE_LINKS_SILENT(SoakGatewayMain.Fault.SILENT),
  ENGINE_LINKS_CUT(SoakGatewayMain.Fault.CUT),
  ENGINE_REJECTS(EngineFault.REJECT),
  ENGINE_FAILS(EngineFault.FAIL),
  ENGINE_LOSES_ANSWERS(EngineFault.LOSE_ANSWER),
  ENGINE_BREAKS_OFF(EngineFault.BREAK_MIDWAY),
  ENGINE_RESETS(EngineFault.RESET_WITHOUT_LENGTH),
  ENGINE_SILENT(EngineFault.SILENT),
  ENGINE_ANSWERS_OTHERS(EngineFault.WRONG_REQUEST),
  ENGINE_FORGETS_MARK(EngineFault.UNSIGNED),
  ENGINE_LIES_UNAVAILABLE(EngineFault.UNAVAILABLE_BUT_RAN);

  /** Faults of one lane follow each other; those of different lanes meet. */
  enum Lane {
    FLEET(1, Integer.MAX_VALUE),
    ENGINE(1, Integer.MAX_VALUE),
    REQUESTS(1, Integer.MAX_VALUE),
    /** Longer than a window in which requests are counted, and what comes before it. */
    LIMITS(3, Integer.MAX_VALUE),
    /**
     * The store is away for a moment, while faults of the fleet go on. In a long time away its
     * counter would catch up before the checks count again.
     */
    STORE(1, 1_000),
    OPERATOR(1, Integer.MAX_VALUE),
    /** Signals to gateways that may be stopping, starting or cut off by the other lanes. */
    SIGNALS(1, Integer.MAX_VALUE),
    /** Links between one gateway and all engines, for longer than the bound on knowing. */
    LINKS(2, Integer.MAX_VALUE),
    /** Engines of a new version begin, and those that they replace leave and end. */
    RELEASES(1, Integer.MAX_VALUE),
    /** Like {@link #RELEASES}, so that releases overlap. */
    OVERLAPPING_RELEASES(1, Integer.MAX_VALUE),
    /** Parts of prompts that crash model engines; last, so that seeds draw the others as ever. */
    PROMPT_PARTS(1, Integer.MAX_VALUE),
    /** Engines whose answers have neither a length nor chunks. */
    FRAMING(1, Integer.MAX_VALUE),
    /** One gateway that gets most connections, for longer than the bound on knowing. */
    CONNECTIONS(2, Integer.MAX_VALUE),
    /** Requests of the other gateways to one, whose datagrams go on, while they are at engines. */
    PEER_LINKS(1, Integer.MAX_VALUE),
    /** Engines whose answers do not tell their end are killed while they answer. */
    KILLS(1, Integer.MAX_VALUE),
    /**
     * One gateway misses what changes, for less time than after which it knows that; engines of a
     * new version join meanwhile.
     */
    OUT_OF_STEP(0.4, Integer.MAX_VALUE),
    /** Entries of another writer among those of the engines. */
    ODD_ENTRIES(1, Integer.MAX_VALUE),
    /** Engines that send bytes that are no answer until gateways close their connections. */
    ENDLESS_ANSWERS(1, Integer.MAX_VALUE),
    /**
     * All engines of a service turn requests away and send their refusals twice; a single one would
     * hardly have callers come back, since others serve them.
     */
    REPEATED_REFUSALS(2, Integer.MAX_VALUE);

    private final double times;
    private final int mostMillis;

    Lane(double times, int mostMillis) {
      this.times = times;
      this.mostMillis = mostMillis;
    }

    /**
     * Returns how long a fault of this lane lasts.
     *
     * @param drawnMillis the time that was drawn for it
     */
    long lastsMillis(int drawnMillis) {
      return Math.min(mostMillis, (long) (times * drawnMillis));
    }
  }

  private final Lane lane;
  private final EngineFault engineFault;
  private final StoreFault storeFault;
  private final SoakGatewayMain.Fault linkFault;

  SoakFault(Lane lane) {
    this(lane, EngineFault.NONE, StoreFault.NONE, SoakGatewayMain.Fault.NONE);
  }

  SoakFault(EngineFault engineFault) {
    this(Lane.ENGINE, engineFault, StoreFault.NONE, SoakGatewayMain.Fault.NONE);
  }

  SoakFault(StoreFault storeFault) {
    this(Lane.FLEET, EngineFault.NONE, storeFault, SoakGatewayMain.Fault.NONE);
  }

  SoakFault(SoakGatewayMain.Fault linkFault) {
    this(Lane.LINKS, EngineFault.NONE, StoreFault.NONE, linkFault);
  }

  SoakFault(
      Lane lane, EngineFault engineFault, StoreFault storeFault, SoakGatewayMain.Fault linkFault) {
    this.lane = lane;
    this.engineFault = engineFault;
    this.storeFault = storeFault;
    this.linkFault = linkFault;
  }

  static List<SoakFault> of(Lane lane) {
    return Arrays.stream(values()).filter(fault -> fault.lane == lane).toList();
  }

  /** Whether a gateway is out of touch, with the others or the store, while it lasts. */
  boolean touches(int gateway, int target, int gateways) {
    return lane == Lane.FLEET
        || lane == Lane.STORE
        || lane == Lane.OUT_OF_STEP && gateway == SoakFleet.gatewayIndex(target, gateways);
  }

  /** Whether gateways may learn later what is written into the store while it lasts. */
  boolean delaysNotices() {
    return this != ENGINE_DRAINS
        && (lane == Lane.FLEET || lane == Lane.STORE || lane == Lane.OUT_OF_STEP);
  }

  /** Whether a gateway forgets or misses what it was told. */
  boolean stopsGateway() {
    return restartsGateway() || isSuspension();
  }

  private boolean isSuspension() {
    return this == GATEWAY_PAUSED || this == GATEWAY_FROZEN || this == GATEWAY_SUSPENDED_IN_RELEASE;
  }

  /** Whether another process takes a gateway's place when it ends. */
  boolean restartsGateway() {
    return this == GATEWAY_KILLED || this == GATEWAY_STOPPED;
  }

  /** Whether a gateway gets most connections while it lasts. */
  boolean crowds(int gateway, int target, int gateways) {
    return this == GATEWAY_CROWDED && gateway == SoakFleet.gatewayIndex(target, gateways);
  }

  /** Whether a gateway cannot have requests sent by another one while it lasts. */
  boolean cutsPeers() {
    return lane == Lane.PEER_LINKS;
  }

  /** Whether a gateway is cut off from all engines while it lasts. */
  boolean cutsOff(int gateway, int target, int gateways) {
    return lane == Lane.LINKS && gateway == SoakFleet.gatewayIndex(target, gateways);
  }

  private boolean isRelease() {
    return lane == Lane.RELEASES || lane == Lane.OVERLAPPING_RELEASES;
  }

  void begin(SoakFleet fleet, int target) throws Exception {
    if (isRelease()) {
      fleet.release(target);
      return;
    }
    set(fleet, target, engineFault, storeFault, linkFault);
  }

  void end(SoakFleet fleet, int target) throws Exception {
    if (isRelease()) {
      fleet.endRelease(target);
      return;
    }
    set(fleet, target, EngineFault.NONE, StoreFault.NONE, SoakGatewayMain.Fault.NONE);
  }

  private void set(
      SoakFleet fleet,
      int target,
      EngineFault ofEngine,
      StoreFault ofStore,
      SoakGatewayMain.Fault ofLinks)
      throws IOException {
    if (lane == Lane.LINKS) {
      fleet.gateway(target).setLinks(ofLinks);
    } else if (lane == Lane.ENGINE) {
      fleet.engine(target).misbehave(ofEngine);
    } else {
      fleet.platform().store().misbehave(ofStore);
    }
  }
}
