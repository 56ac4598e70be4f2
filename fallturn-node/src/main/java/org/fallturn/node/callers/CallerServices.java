package org.fallturn.node.callers;

import java.util.function.Supplier;
import org.fallturn.core.admission.AdmissionControl;
import org.fallturn.core.configuration.ConfigurationImage;
import org.fallturn.core.placement.PlacementService;
import org.fallturn.core.port.machines.MachineList;
import org.fallturn.node.engine.EngineClient;
import org.fallturn.node.json.JsonCodec;

/** What every request of the callers' door works with. Immutable; shared by all threads. */
record CallerServices(
    CallersSettings settings,
    PlacementService placement,
    AdmissionControl admission,
    Supplier<ConfigurationImage> configuration,
    Supplier<MachineList> machines,
    EngineClient engines,
    InFlightRequests inFlight,
    CallerAnswers answers,
    CallerMetrics metrics,
    JsonCodec codec) {}
