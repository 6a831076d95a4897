package attributionreport

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"html/template"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg"

	"chalkstand/attribution"
)

// Sizes of the plots in an HTML report. Plots over time have the wide size. The matrix and the
// percentiles have the square size.
const (
	wideWidth    = 26 * vg.Centimeter
	wideHeight   = 10 * vg.Centimeter
	squareWidth  = 16 * vg.Centimeter
	squareHeight = squareWidth * 3 / 4
)

// Limits on the number of volumes in an HTML report.
const (
	topVolumes    = 20 // maximum number of volumes in the table
	matrixVolumes = 12 // maximum number of victims, and of culprits, in the matrix
	reportVolumes = 6  // maximum number of volumes with a section of their own
)

// section is a titled plot with optional text below it.
type section struct {
	Title string
	Image template.URL
	Text  string
}

// htmlPage is the input of pageTemplate.
type htmlPage struct {
	Title    string
	Span     string
	Notes    []string
	Top      string
	Sections []section
}

// HTML writes a report as one self-contained HTML page. The page has sections for the heaviest
// volumes. If volume is not empty, the section of that volume precedes them. HTML returns an
// *UnknownVolumeError if volume has no summary of its own.
func HTML(out io.Writer, d *Data, volume string) error {
	w := d.Sum()
	page := htmlPage{Title: "Latency accounts", Span: d.span(), Notes: d.Notes}
	var volumes []string
	if volume != "" {
		if _, err := findVolume(&w, volume); err != nil {
			return err
		}
		volumes = append(volumes, volume)
	}
	for _, v := range w.Volumes {
		if len(volumes) < reportVolumes && v.Volume != volume {
			volumes = append(volumes, v.Volume)
		}
	}
	var top bytes.Buffer
	Top(&top, d, topVolumes)
	page.Top = top.String()
	if len(d.Slots) > 0 {
		if err := page.addSections(d, &w, volumes); err != nil {
			return fmt.Errorf("report: %w", err)
		}
	}
	return pageTemplate.Execute(out, page)
}

// addSections adds the section of each plot, including one for each of the given volumes.
func (h *htmlPage) addSections(d *Data, w *attribution.Window, volumes []string) error {
	p, err := Matrix(w, matrixVolumes)
	if err != nil {
		return err
	}
	text := fmt.Sprintf("All time behind others: %s. No pair that is not named has more than %s.",
		round(w.Behind), round(w.PairError))
	if err := h.add("Who waited behind whom", text, p, squareWidth, squareHeight); err != nil {
		return err
	}
	p, err = Percentiles(w, volumes)
	if err != nil {
		return err
	}
	text = fmt.Sprintf("Each at most %.0f %% off.", 100*attribution.PercentileError)
	if err := h.add("Percentiles", text, p, squareWidth, squareHeight); err != nil {
		return err
	}
	for _, v := range volumes {
		if err := h.addVolume(d, v); err != nil {
			return err
		}
	}
	p, err = Stacked(d, "")
	if err != nil {
		return err
	}
	return h.add("All volumes", "", p, wideWidth, wideHeight)
}

// addVolume adds a section with the report and the plot of one volume.
func (h *htmlPage) addVolume(d *Data, volume string) error {
	var text bytes.Buffer
	if err := Volume(&text, &Data{Slots: d.Slots}, volume); err != nil {
		return err
	}
	p, err := Stacked(d, volume)
	if err != nil {
		return err
	}
	return h.add("Volume "+volume, text.String(), p, wideWidth, wideHeight)
}

// add adds a section with a plot. If the plot is nil, it adds nothing.
func (h *htmlPage) add(title, text string, p *plot.Plot, width, height vg.Length) error {
	if p == nil {
		return nil
	}
	png, err := draw(p, width, height, "png")
	if err != nil {
		return err
	}
	image := template.URL("data:image/png;base64," + base64.StdEncoding.EncodeToString(png))
	h.Sections = append(h.Sections, section{Title: title, Image: image, Text: text})
	return nil
}

var pageTemplate = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{{.Title}}</title>
<style>
body { font: 15px/1.45 system-ui, sans-serif; max-width: 75em; margin: 2em auto; padding: 0 1em; color: #222 }
pre { background: #f6f6f4; padding: .8em; overflow-x: auto; font-size: 13px }
img { max-width: 100%; border: 1px solid #ddd }
.note { color: #8a3b00 }
</style>
<h1>{{.Title}}</h1>
<p>{{.Span}}</p>
{{range .Notes}}<p class="note">{{.}}</p>
{{end}}<pre>{{.Top}}</pre>
{{range .Sections}}<h2>{{.Title}}</h2>
<img alt="{{.Title}}" src="{{.Image}}">
{{if .Text}}<pre>{{.Text}}</pre>
{{end}}{{end}}</html>
`))
