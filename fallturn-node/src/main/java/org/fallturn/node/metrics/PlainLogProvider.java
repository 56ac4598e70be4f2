package org.fallturn.node.metrics;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import org.slf4j.ILoggerFactory;
import org.slf4j.IMarkerFactory;
import org.slf4j.helpers.BasicMarkerFactory;
import org.slf4j.spi.MDCAdapter;
import org.slf4j.spi.SLF4JServiceProvider;

/**
 * SLF4J provider that returns an unconfigured Logback context; {@link LogSetup} configures it from
 * the settings. Logback's own provider first searches for configuration files and compares
 * versions, which takes a good part of a process's start time. The system property {@code
 * slf4j.provider} selects this class.
 */
public final class PlainLogProvider implements SLF4JServiceProvider {

  /** The newest version of the SLF4J API that this class supports. */
  private static final String SLF4J_VERSION = "2.0.99";

  private final LoggerContext context = new LoggerContext();
  private final IMarkerFactory markers = new BasicMarkerFactory();
  private final LogbackMDCAdapter diagnosticContext = new LogbackMDCAdapter();

  /** Creates the provider; SLF4J calls this by reflection. */
  public PlainLogProvider() {
    context.setName("default");
    context.setMDCAdapter(diagnosticContext);
  }

  @Override
  public ILoggerFactory getLoggerFactory() {
    return context;
  }

  @Override
  public IMarkerFactory getMarkerFactory() {
    return markers;
  }

  @Override
  public MDCAdapter getMDCAdapter() {
    return diagnosticContext;
  }

  @Override
  public String getRequestedApiVersion() {
    return SLF4J_VERSION;
  }

  @Override
  public void initialize() {
    context.start();
  }
}
