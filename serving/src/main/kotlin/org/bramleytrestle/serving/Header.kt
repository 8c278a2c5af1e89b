package org.bramleytrestle.serving

/** One header line that is passed on unchanged. */
public data class Header(val name: String, val value: String)
