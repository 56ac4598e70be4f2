package org.fallturn.node.metrics;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import org.slf4j.ILoggerFactory;
import org.slf4j.IMarkerFactory;
import org.slf4j.helpers.BasicMarkerFactory;
import org.slf4j.spi.MDCAdapter;
import org.slf4j.spi.SLF4JServiceProvider;

/**
 * Gives SLF4J a Logback context that nobody has configured. The log is set up from the settings by
 * {@link LogSetup}; Logback's own provider would first search for configuration files and compare
 * versions, which takes a good part of a process's start. Named by the property {@code
 * slf4j.provider}.
 */
public final class PlainLogProvider implements SLF4JServiceProvider {

  /** The newest version of SLF4J that this class was written for. */
  private static final String SLF4J_VERSION = "2.0.99";

  private final LoggerContext context = new LoggerContext();
  private final IMarkerFactory markers = new BasicMarkerFactory();
  private final LogbackMDCAdapter diagnosticContext = new LogbackMDCAdapter();

  /** Called by SLF4J through reflection. */
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
