package org.bramleytrestle.serving

/** A header line that is forwarded unchanged. */
public data class Header(val name: String, val value: String)
